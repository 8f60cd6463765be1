#pragma once

#include "review/standins-3/caller.hpp"
#include "review/standins-3/daemon.hpp"
#include "review/standins-3/runner.hpp"
#include "review/standins-3/store.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <thread>

namespace tanagerlead::review
{

/// Milliseconds after which a machine that has just started is in touch.
inline constexpr base::duration stable_window = std::chrono::seconds{3};

/// A small deployment on loopback: the store, runners of two services and
/// daemons, all but the daemons in this process and on one thread.
class deployment
{
public:
    struct settings
    {
        std::string program_;
        std::string folder_;
        int daemons_ = 2;
        base::duration stream_work_{};
        base::duration plain_work_{};
        base::duration event_time_{};
        int events_ = 10;
        base::duration stream_endless_pause_{};
        base::duration plain_endless_pause_{};
        int stream_runners_ = 12;
        int plain_runners_ = 3;
        std::size_t plain_answer_bytes_ = 800;
    };

    deployment(settings s, record& out);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    record& out() { return record_; }
    void start_daemons();
    void kill_daemons();
    /// Adds and registers runners of the service for streams.
    void add_stream_runners(int count, std::string const& version);
    /// The first runners of each service are in trouble from now on.
    void set_trouble(runner_trouble trouble, int stream_runners,
                     int plain_runners);
    std::string const& ip_of(int client) const;
    int daemon_count() const { return static_cast<int>(daemons_.size()); }
    /// Whether each daemon has answered a request of each service.
    bool is_serving();
    int own_ends(int daemon);
    double peak_mib(int daemon);
    /// Ids that no other request of this run has.
    std::string fresh_id();

private:
    template <class Action>
    void on_loop(Action action);
    void add_runner(runner::settings const& s);

    settings settings_;
    record& record_;
    net::asio::io_context loop_;
    net::asio::executor_work_guard<net::asio::io_context::executor_type> work_;
    store store_;
    std::vector<std::unique_ptr<runner>> stream_runners_;
    std::vector<std::unique_ptr<runner>> plain_runners_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::atomic<std::uint64_t> next_id_ = 1;
    std::thread thread_;
};

} // namespace tanagerlead::review
