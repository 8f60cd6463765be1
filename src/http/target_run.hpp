#pragma once

#include "src/base/clock.hpp"
#include "src/base/histogram.hpp"
#include "src/http/target_connection.hpp"
#include "src/request/dispatcher.hpp"
#include "src/request/request_record.hpp"
#include "src/request/sse.hpp"

#include <condition_variable>
#include <mutex>
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
    target_connection& connection_;
    request::dispatcher& dispatcher_;
    request::metrics& metrics_;
    base::clock const& clock_;
    target_limits const& limits_;
};

/// Work on a request that other threads may end. Any thread.
class active_run
{
public:
    virtual ~active_run() = default;
    /// Ends it soon: the caller is gone, or the daemon stops.
    virtual void stop() = 0;
    /// Stops it when nobody has been reading for the time of grace.
    virtual void stop_if_abandoned() = 0;
};

/// One granted request on its target: sends it, once, and reads the answer
/// into the request's buffer.
class target_run final : public active_run, private target_listener
{
public:
    target_run(target_run_services const& use, target_job const& job,
               request::dispatch_to to);

    /// Blocks until the answer has ended. False when the target could not be
    /// connected to: nothing was sent, and the request may go elsewhere.
    /// Otherwise the request has ended. Called once.
    bool run();

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

    void on_connected(exchange_stopper& stopper) override;
    bool on_head(target_head const& head) override;
    bool on_bytes(std::string_view bytes) override;

    bool decide(verdict value);
    bool echoes_request(target_head const& head) const;
    void begin_answer(target_head const& head);
    bool take_event(request::sse_event event);
    bool continues(request::sse_event const& event);
    void note_progress();

    exchange_end exchange(target_call const& call);
    verdict judge(exchange_end end) const;
    verdict resume_until_ended();
    target_call stream_call(char const* method) const;
    bool is_abandoned() const;
    void pause(base::duration length);

    void finish(verdict reason);
    void cancel_at_target();
    request::token_usage read_usage() const;
    void report(sched::dispatch_event event) const;

    target_run_services const use_;
    target_job const& job_;
    request::dispatch_to const to_;
    request::request_record& record_;

    request::sse_parser parser_;
    verdict verdict_ = verdict::open;
    bool dispatched_ = false;
    bool resuming_ = false;
    std::optional<target_head> head_;
    bool is_stream_ = false;
    /// Number of the target's last event; stays 0 when it numbers none.
    std::uint64_t last_id_ = 0;
    /// Newest event that may tell the tokens used.
    std::string last_data_;
    std::uint64_t events_ = 0;
    base::time_point last_event_at_;
    base::duration_histogram gaps_;

    mutable std::mutex stop_mutex_;
    std::condition_variable stop_asked_;
    exchange_stopper* stopper_ = nullptr;
    bool stopping_ = false;
};

} // namespace tanagerlead::http
