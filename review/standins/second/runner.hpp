#pragma once

#include "record.hpp"
#include "server.hpp"
#include "store.hpp"

#include <condition_variable>

namespace tanagerlead::review
{

/// What a runner is, and how it works.
struct runner_settings
{
    std::string id_;
    std::string service_;
    std::string zone_;
    address at_;
    std::string version_ = "v1";
    int slots_ = 6;
    /// Requests that wait for a slot; further ones are turned away.
    int queue_ = 36;
    /// Version of the weights of its model.
    int weights_ = 1;
    /// Events of a stream; none for a plain service.
    int events_ = 0;
    milliseconds first_event_{60};
    milliseconds event_gap_{100};
    /// Work of a plain request.
    milliseconds work_{30};
    /// Bytes of the answer to a plain request.
    std::size_t answer_bytes_ = 800;
    /// A part of a prompt that crashes it; empty: none does.
    std::string deadly_part_;
    /// Part of its answers after which it sends a refusal once more, when the
    /// next request has come on that connection.
    double late_copies_ = 0;
    /// Called with the id of each request that it runs.
    std::function<void(std::string const& id)> on_run_ =
        [](std::string const&) {
        };
};

/// A model runner or a plain service, as PROTOCOL.md describes them.
class runner
{
public:
    /// All arguments must outlive the runner.
    runner(runner_settings s, store& registry, record& log);
    ~runner();

    /// Listens, and then registers in the store.
    bool start();
    /// Ends as when its process dies. Its entry stays.
    void crash();
    /// The store removes the entry of a runner that is silent.
    void lapse() { registry_.remove("servers/" + settings_.id_); }

    runner_settings const& settings() const { return settings_; }
    bool is_up() const { return server_.is_up(); }

private:
    bool answer(connection& from, request const& asked);
    bool serve(connection& from, request const& asked);
    bool stream(connection& from, request const& asked);
    bool work(connection& from, request const& asked);
    bool refuse(connection& from, request const& asked, int status);
    /// Whether one more answer may be spoilt.
    bool may_copy();
    bool take_slot();
    void give_slot();
    bool is_deadly(request const& asked) const;
    response head_for(request const& asked, int status) const;
    std::string entry() const;

    runner_settings const settings_;
    store& registry_;
    record& log_;
    std::mutex mutex_;
    std::condition_variable freed_;
    int running_ = 0;
    int waiting_ = 0;
    int answers_ = 0;
    int copies_ = 0;
    server server_;
};

} // namespace tanagerlead::review
