#pragma once

#include "src/base/clock.hpp"
#include "src/base/histogram.hpp"
#include "src/http/target_connection.hpp"
#include "src/net/event_loop.hpp"
#include "src/request/dispatcher.hpp"
#include "src/request/request_record.hpp"
#include "src/request/sse.hpp"

#include <functional>
#include <optional>

namespace tanagerlead::request
{
class metrics;
}

namespace tanagerlead::http
{

/// A request and how to send it.
struct target_job
{
    request::record_ptr record_;
    target_call call_;
    /// Asked for as a stream; only such an answer can be resumed.
    bool stream_ = false;
    /// A model engine: knows streams by request id and counts tokens.
    bool model_ = false;
    /// What runs without a reader for so long is cancelled; never when empty.
    std::optional<base::duration> grace_;
};

/// What target runs work with.
struct target_run_services
{
    net::asio::io_context& loop_;
    target_connection& connection_;
    request::dispatcher& dispatcher_;
    request::metrics& metrics_;
    base::clock const& clock_;
    target_limits const& limits_;
};

/// Work on a request that can be ended early. On the loop.
class active_run
{
public:
    /// Called once, last, and never inside a call to the run. False when
    /// nothing was sent, and the request may go elsewhere; otherwise the
    /// request has ended.
    using ended = std::function<void(bool request_ended)>;

    virtual ~active_run() = default;
    virtual void start(ended done) = 0;
    /// Ends it soon: the caller is gone, or the daemon stops.
    virtual void stop() = 0;
    /// Stops it when nobody has been reading for the time of grace.
    virtual void stop_if_abandoned() = 0;
};

/// One granted request on its target: sends it, once, and reads the answer
/// into the request's buffer. On the loop.
class target_run final : public active_run, private target_listener
{
public:
    target_run(target_run_services const& use, target_job const& job,
               request::dispatch_to to);

    void start(ended done) override;
    void stop() override;
    void stop_if_abandoned() override;

private:
    enum class verdict
    {
        open,
        complete,
        cut,
        forgotten,
        wrong_answer,
        too_large,
        abandoned,
    };
    struct ending;
    /// What the exchange under way is for.
    enum class step
    {
        first_answer,
        resumption,
        /// Tells the target that nobody wants the rest.
        cancellation,
    };

    bool on_connected() override;
    bool on_head(target_head const& head) override;
    bool on_bytes(std::string_view bytes) override;
    void on_end(exchange_end end) override;

    bool decide(verdict value);
    bool echoes_request(target_head const& head) const;
    void begin_answer(target_head const& head);
    bool take_event(request::sse_event event);
    bool continues(request::sse_event const& event);
    void note_progress();

    void exchange(target_call const& call);
    verdict judge(exchange_end end) const;
    void on_first_answer(exchange_end end);
    void on_resumption(exchange_end end);
    void resume();
    target_call stream_call(char const* method) const;
    bool is_abandoned() const;

    void finish(verdict reason);
    void cancel_at_target();
    void conclude();
    request::token_usage read_usage() const;
    void report(sched::dispatch_event event) const;

    target_run_services const use_;
    target_job const& job_;
    request::dispatch_to const to_;
    request::request_record& record_;

    ended done_;
    request::sse_parser parser_;
    verdict verdict_ = verdict::open;
    /// Why the run ends, from `finish` on.
    verdict reason_ = verdict::open;
    step step_ = step::first_answer;
    bool dispatched_ = false;
    std::optional<target_head> head_;
    bool is_stream_ = false;
    /// Number of the target's last event; stays 0 when it numbers none.
    std::uint64_t last_id_ = 0;
    /// Newest event that may tell the tokens used.
    std::string last_data_;
    std::uint64_t events_ = 0;
    base::time_point last_event_at_;
    base::duration_histogram gaps_;

    /// Resumptions in a row that brought no event, and the pause before the
    /// next one.
    int vain_resumes_ = 0;
    base::duration next_pause_;
    std::uint64_t events_before_ = 0;
    net::deadline_timer pause_;
    bool stopping_ = false;
    std::unique_ptr<target_exchange> exchange_;
};

} // namespace tanagerlead::http
