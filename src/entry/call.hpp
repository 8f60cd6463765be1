#pragma once

#include "src/entry/call_outcome.hpp"
#include "src/entry/event_log.hpp"
#include "src/entry/protocol.hpp"
#include "src/net/caller_connection.hpp"
#include "src/net/channel.hpp"
#include "src/routing/attempt_policy.hpp"
#include "src/routing/dispatcher.hpp"
#include "src/routing/event_splitter.hpp"
#include "src/routing/latency_estimate.hpp"
#include "src/routing/stall_limit.hpp"

namespace tanagerlead::entry
{

class call;

/// What a call needs of the daemon. All on the traffic loop.
class call_owner
{
public:
    virtual ~call_owner() = default;

    virtual void submit(routing::call_item item) = 0;
    virtual routing::target_info const*
    find_place(routing::call_item const& item) = 0;
    virtual void place(routing::call_item const& item,
                       base::target_id const& target) = 0;
    virtual void withdraw(call& waiting) = 0;
    virtual void on_attempt_end(call& running, routing::call_end end) = 0;
    virtual void on_pace(base::target_id const& target, base::duration took,
                         double units) = 0;
    /// A connection broke while this request was at the target.
    virtual void on_broken(call& running, base::target_id const& target) = 0;
    virtual routing::pool_latency& latency(base::pool_id const& pool) = 0;
    virtual bool take_retry(base::pool_id const& pool) = 0;
    virtual base::duration retry_after(call const& refused) = 0;

    virtual void open_channel(
        routing::target_info const& target, base::duration most_idle,
        std::function<void(std::shared_ptr<net::channel>, net::error_code)>
            done) = 0;
    virtual void keep_channel(base::target_id const& target,
                              std::shared_ptr<net::channel> const& used) = 0;
    /// The call is over; it is destroyed soon.
    virtual void on_over(call& over, call_outcome outcome,
                         std::string const& cause) = 0;

    virtual protocol const& speech() const = 0;
    virtual event_log& log() = 0;
    virtual net::asio::io_context& loop() = 0;
};

/// One request of a caller, from its last byte to the last byte of its answer.
class call final : public net::answer_sink,
                   public std::enable_shared_from_this<call>
{
public:
    struct subject
    {
        base::request_id id_;
        net::http_request request_;
        call_marks marks_;
        /// Keeps the route and the workspace in place.
        routing::configuration_ptr configuration_;
        routing::route const* route_ = nullptr;
        /// Null for an anonymous caller.
        routing::workspace const* workspace_ = nullptr;
        base::pool_id pool_;
        base::tier tier_{};
        double deference_ = 0;
        std::uint64_t fingerprint_ = 0;
        /// Units taken from the workspace's quota.
        double quota_units_ = 0;
    };

    /// `owner` outlives it.
    call(call_owner& owner, std::shared_ptr<net::caller_connection> caller,
         subject about);

    void start();
    void on_grant(routing::target_info const& target);
    void on_refusal(sched::refusal_cause cause, base::duration retry_after);

    subject const& about() const { return about_; }
    routing::call_progress const& progress() const { return progress_; }
    base::time_point received() const { return received_; }
    base::time_point deadline() const { return deadline_; }
    base::target_id const& target() const { return target_.id_; }
    std::optional<base::time_point> first_piece() const { return first_piece_; }
    base::time_point first_sent() const { return first_sent_; }
    int status() const { return status_; }

    net::head_verdict on_head(net::http_response const& head) override;
    void on_body(std::string_view bytes) override;
    void on_complete() override;
    void on_broken(std::string const& detail) override;

private:
    enum class state : std::uint8_t
    {
        waiting,
        connecting,
        running,
        over,
    };

    routing::call_item item() const;
    void on_channel(std::shared_ptr<net::channel> opened,
                    net::error_code const& error);
    void send();
    void forward_events();
    void pass_piece(std::string_view bytes);
    void on_caller_left();
    void on_deadline();
    void on_stall();
    void arm_stall();
    void deliver();
    void finish_stream();
    void fail(routing::attempt_failure failure, std::string const& detail);
    void follow(routing::attempt_verdict verdict, std::string const& cause);
    void end_attempt(routing::call_end end);
    void answer_own(int status, std::string const& cause,
                    std::optional<base::duration> retry_after);
    void finish(call_outcome outcome, std::string const& cause);
    bool is_stream() const;

    call_owner& owner_;
    std::shared_ptr<net::caller_connection> caller_;
    subject about_;
    base::time_point received_;
    base::time_point deadline_;
    net::alarm deadline_alarm_;
    net::alarm stall_alarm_;
    state state_ = state::waiting;
    routing::call_progress progress_;
    std::vector<base::target_id> tried_;
    routing::target_info target_;
    std::shared_ptr<net::channel> channel_;
    /// Head of the present attempt's answer, with the body of a whole one.
    net::http_response answer_;
    answer_marks answer_marks_;
    bool streams_ = false;
    routing::event_splitter events_;
    std::optional<std::uint64_t> last_event_;
    base::time_point attempt_sent_{};
    base::time_point first_sent_{};
    std::optional<base::time_point> first_piece_;
    base::time_point attempt_first_{};
    base::time_point attempt_last_{};
    int attempt_events_ = 0;
    int status_ = 0;
};

} // namespace tanagerlead::entry
