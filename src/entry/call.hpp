#pragma once

#include "src/entry/byte_budget.hpp"
#include "src/entry/call_outcome.hpp"
#include "src/entry/protocol.hpp"
#include "src/entry/rate_limited_log.hpp"
#include "src/net/caller_connection.hpp"
#include "src/net/channel.hpp"
#include "src/routing/attempt_policy.hpp"
#include "src/routing/dispatcher.hpp"
#include "src/routing/event_splitter.hpp"
#include "src/routing/latency_estimate.hpp"
#include "src/routing/origin_finding.hpp"
#include "src/routing/stall_timeout.hpp"
#include "src/routing/stream_starts.hpp"

namespace tanagerlead::entry
{

class call;

/// Whether a request may be sent to a target.
enum class send_permission : std::uint8_t
{
    /// It is in quarantine.
    denied,
    granted,
    /// It is in quarantine and sent once, to see whether it still crashes
    /// targets.
    trial,
};

/// Daemon functions that a call uses. All are called on the data plane's loop.
class call_delegate
{
public:
    virtual ~call_delegate() = default;

    virtual void submit(routing::pending_call item) = 0;
    virtual routing::target_info const*
    find_free_slot(routing::pending_call const& item) = 0;
    virtual void assign(routing::pending_call const& item,
                        base::target_id const& target) = 0;
    virtual void withdraw(call& waiting) = 0;
    /// The target of the call has begun to run the request.
    virtual void on_admitted(call const& running) = 0;
    virtual void on_attempt_end(call& running,
                                routing::attempt_outcome end) = 0;
    virtual void on_service_time(base::target_id const& target,
                                 base::duration took, double units) = 0;
    /// A target announced its shutdown or asked for a pause in an answer.
    virtual void on_announcement(routing::target_info const& target,
                                 answer_metadata const& metadata) = 0;
    /// A target answered a request that was sent at `sent`, with a limit or
    /// without one.
    virtual void on_limit(routing::target_info const& target,
                          std::optional<routing::request_rate> limit,
                          base::time_point sent) = 0;
    /// A target answered a request that was sent at `sent`, and may have said
    /// how many rejections a second it stands.
    virtual void on_brittle(routing::target_info const& target,
                            std::optional<routing::request_rate> max_rejections,
                            base::time_point sent) = 0;
    /// The target has worked on this request for long enough to show that the
    /// request does not crash it.
    virtual void on_proof(call const& running) = 0;
    /// Whether the request must not be sent to targets, since it crashes them.
    virtual bool is_quarantined(call const& waiting) const = 0;
    /// Asked right before the request is sent. A trial is used up by it.
    virtual send_permission ask_to_send(call const& waiting) = 0;
    /// The connection to `target` broke while the target held this request.
    virtual void on_broken(call& running, base::target_id const& target) = 0;
    virtual routing::pool_latency& latency(base::pool_id const& pool) = 0;
    virtual bool take_retry(base::pool_id const& pool) = 0;
    /// Whether a begun stream may leave a target that still holds it. False
    /// while this daemon shuts down, or the version of another target could not
    /// be proved.
    virtual bool may_move_streams() const = 0;
    virtual base::duration retry_after(call const& refused) = 0;

    /// Passes to `call::on_origin` the version that began the stream which the
    /// caller takes up, at once or later.
    virtual void find_origin(call& resumed) = 0;
    /// Asked before a stream is sent to its target. It may have to wait, or to
    /// go to another one, so that it can be taken up after the loss of all
    /// daemons.
    virtual routing::begin_permission may_begin_stream(call const& ready) = 0;
    /// The first event of the caller's stream has come over a connection that
    /// was opened at `connected_at`.
    virtual void on_stream_begun(call const& running,
                                 base::time_point connected_at) = 0;
    /// The first event of a stream that the caller has taken up has come.
    virtual void on_stream_resumed(call const& running,
                                   routing::version_digest version) = 0;
    /// The pool with targets of this version; null if there is none.
    virtual base::pool_id const* pool_of(routing::version_digest version) = 0;
    /// The version of the process at the other end of a connection to `target`.
    virtual routing::version_finding
    version_of(routing::target_info const& target,
               base::time_point connected_at) = 0;

    virtual void acquire_channel(
        routing::target_info const& target, base::duration max_idle,
        std::function<void(std::shared_ptr<net::channel>, net::error_code)>
            done) = 0;
    virtual void
    release_channel(base::target_id const& target,
                    std::shared_ptr<net::channel> const& channel) = 0;
    /// A daemon that reaches the pool if this one does not; see target_links.
    virtual std::optional<routing::target_info>
    find_relay(base::pool_id const& pool,
               std::vector<base::target_id> const& tried) = 0;
    /// A daemon that may run a waiting request which this one may not, since it
    /// has a slot at a brittle target.
    virtual std::optional<routing::target_info>
    find_substitute(call const& waiting) = 0;
    /// Called once at the end of a call, which is destroyed soon after.
    virtual void on_call_finished(call& finished, call_outcome outcome,
                                  std::string const& cause) = 0;

    /// Limits what all calls hold of answers that are not streamed.
    virtual byte_budget& answer_budget() = 0;
    virtual protocol const& get_protocol() const = 0;
    virtual rate_limited_log& log() = 0;
    virtual net::asio::io_context& loop() = 0;
};

/// Forwards one request: lives from the receipt of the whole request until its
/// answer has been sent. Chooses retries and enforces deadlines.
class call final : public net::answer_sink,
                   public std::enable_shared_from_this<call>
{
public:
    /// `Retry-After` of requests in quarantine.
    static constexpr base::duration retry_when_quarantined =
        std::chrono::seconds{60};
    /// `Retry-After` where another daemon may know what this one cannot find
    /// out.
    static constexpr base::duration retry_elsewhere =
        std::chrono::milliseconds{100};

    struct request_context
    {
        base::request_id id_;
        net::http_request request_;
        request_metadata metadata_;
        /// Keeps `route_` and `workspace_` valid.
        routing::configuration_ptr configuration_;
        routing::route const* route_ = nullptr;
        /// Null for an anonymous caller.
        routing::workspace const* workspace_ = nullptr;
        base::pool_id pool_;
        routing::id_digest pool_digest_{};
        base::tier tier_{};
        double relative_rank_ = 0;
        std::uint64_t fingerprint_ = 0;
        /// Units charged to the workspace's quota; refunded if the request does
        /// not run.
        double quota_units_ = 0;
        /// Another daemon passed the request on, since it does not reach the
        /// pool. It is not passed on again.
        bool is_relayed_ = false;
        /// If set, `route_` is this copy, with the attempts that are left to a
        /// relayed request.
        std::shared_ptr<routing::route const> limited_route_;
    };

    /// `delegate` must outlive the call.
    call(call_delegate& delegate,
         std::shared_ptr<net::caller_connection> caller,
         request_context context);

    void start();
    /// What was found out about the stream that the caller takes up.
    void on_origin(routing::origin_finding const& finding);
    void on_grant(routing::target_info const& target);
    void on_refusal(sched::refusal_cause cause, base::duration retry_after);
    /// Other requests than before are in quarantine.
    void on_quarantine_changed();
    /// A request that waits for targets of a pool which this daemon does not
    /// reach goes to another daemon.
    void on_pool_unreachable();

    request_context const& context() const { return context_; }
    routing::call_progress const& progress() const { return progress_; }
    base::time_point received() const { return received_; }
    base::time_point deadline() const { return deadline_; }
    base::target_id const& target() const { return target_.id_; }
    /// Targets and daemons that the request was sent to.
    std::vector<base::target_id> const& tried() const { return tried_; }
    routing::target_info const& target_record() const { return target_; }
    base::software_version const& version() const { return target_.version_; }
    std::optional<base::time_point> first_byte_at() const
    {
        return first_byte_at_;
    }
    /// The target of the current attempt has worked on this request for so long
    /// that the request does not crash it.
    bool has_run_well() const;
    /// The current attempt is made by another daemon.
    bool is_at_relay() const { return is_at_relay_; }
    base::time_point first_sent_at() const { return first_sent_at_; }
    /// Events that the caller was sent, and the longest pause between them.
    int events_sent() const { return events_sent_; }
    base::duration longest_gap() const { return longest_gap_; }
    /// Time spent in the queue of this daemon, over all attempts.
    base::duration queued() const { return queued_; }
    /// Attempts that were moved away from a stalled or a slow target.
    int moves() const { return moves_; }
    int status() const { return status_; }
    /// Set once the origin of a stream that the caller takes up was looked for.
    std::optional<routing::origin_finding> const& origin() const
    {
        return origin_;
    }

    net::head_action on_head(net::http_response const& head) override;
    void on_body(std::string_view bytes) override;
    void on_complete(net::answer_end end) override;
    void on_broken(std::string const& detail) override;

private:
    enum class state : std::uint8_t
    {
        waiting,
        connecting,
        running,
        finished,
    };

    routing::pending_call make_item() const;
    void on_channel_open(std::shared_ptr<net::channel> opened,
                         net::error_code const& error);
    /// Sends a stream that begins once its start may be known to be kept.
    void begin_stream();
    void send_if_permitted();
    void send();
    /// Ends an attempt before the request is sent; the connection may be used
    /// again.
    void abandon_unsent();
    void refuse_quarantined();
    void forward_events();
    void on_event_sent(base::time_point now);
    void leave_queue();
    void send_to_caller(std::string_view bytes);
    void drop_answer_body();
    void on_caller_disconnected();
    void on_deadline();
    void on_stall_timeout();
    void arm_stall_timer();
    /// Moves a long answer that would miss its deadline to a faster target.
    void leave_slow_target();
    /// Whether a stalled attempt has waited long enough to be moved.
    bool is_silent() const;
    /// Whether the attempt may be given up for one at another target.
    bool may_leave_target() const;
    /// Takes a slot of another target for this attempt, if there is one. False
    /// if the attempt goes on where it is.
    bool move(std::optional<base::duration> max_event_time,
              std::string_view message);
    void on_whole_answer();
    void finish_stream(net::answer_end end);
    void log_early_end(net::answer_end end) const;
    void fail(routing::attempt_failure failure, std::string const& detail);
    void apply_verdict(routing::retry_decision verdict,
                       std::string const& cause);
    void end_attempt(routing::attempt_outcome end);
    void answer_locally(int status, std::string const& cause,
                        std::optional<base::duration> retry_after);
    void finish(call_outcome outcome, std::string const& cause);
    bool is_stream() const;
    /// The caller takes up a stream that began in an earlier attempt.
    bool is_resumption() const
    {
        return is_stream() && context_.metadata_.last_event_.has_value();
    }
    /// The caller has events of the stream, here or from an earlier attempt.
    bool has_begun() const
    {
        return progress_.answer_started_ || is_resumption();
    }
    /// The request may only be sent to targets of the version that began its
    /// stream.
    bool is_bound() const { return is_stream() && has_begun(); }
    void submit();
    /// Passes the request to another daemon if this one does not reach its
    /// pool. False if there is none to pass it to.
    bool try_relay();
    std::optional<routing::target_info> find_relay() const;
    bool move_to_relay();
    void open_channel();
    net::http_request own_request() const;
    net::http_request relayed_request() const;
    /// Handles an answer of the relay itself. False for an answer of a target.
    bool handle_relay_result();
    /// What the daemon that passed this request on learns from a local answer.
    char const* relay_result(int status) const;
    routing::version_finding version_of_stream() const;
    /// The version that began the stream, which may have to be confirmed. False
    /// if it cannot be known.
    bool find_version();
    /// Sends a resumption once it is known that the stream began at the version
    /// to which the connection leads.
    void send_to_version();
    void try_next_target();
    void on_bound_channel_open();
    void give_up_resumption();
    /// Whether a stalled stream may leave its target. It may not while the
    /// version that began it has yet to be confirmed.
    bool can_move() const;
    void on_settled();
    void on_first_event();

    call_delegate& delegate_;
    std::shared_ptr<net::caller_connection> caller_;
    request_context context_;
    base::time_point received_;
    base::time_point deadline_;
    net::deadline_timer deadline_timer_;
    net::deadline_timer stall_timer_;
    /// Waits until the version at the other end of a connection is known.
    net::deadline_timer settle_timer_;
    base::time_point settle_by_{};
    state state_ = state::waiting;
    routing::call_progress progress_;
    std::vector<base::target_id> tried_;
    routing::target_info target_;
    std::shared_ptr<net::channel> channel_;
    /// Head of the current attempt's answer; also the body if the answer is not
    /// streamed.
    net::http_response answer_;
    answer_metadata answer_metadata_;
    bool is_at_relay_ = false;
    int relays_tried_ = 0;
    /// Attempts that the relay may make.
    int relayed_attempts_ = 0;
    bool is_streamed_ = false;
    /// The caller has not taken events of this attempt as fast as they came.
    bool is_caller_slow_ = false;
    /// When the caller last caught up.
    base::time_point reading_since_ = base::time_point::min();
    routing::event_splitter event_splitter_;
    std::optional<std::uint64_t> last_event_;
    std::optional<routing::origin_finding> origin_;
    /// The version that began the stream.
    routing::version_digest version_ = routing::unknown_version;
    /// The target that brought the first event in this answer, and when the
    /// connection to it was opened.
    routing::target_info first_target_;
    base::time_point first_connected_at_{};
    base::time_point attempt_sent_at_{};
    base::time_point first_sent_at_{};
    std::optional<base::time_point> first_byte_at_;
    base::time_point attempt_first_event_at_{};
    base::time_point attempt_last_event_at_{};
    int attempt_event_count_ = 0;
    int events_sent_ = 0;
    base::time_point last_event_sent_at_{};
    base::duration longest_gap_{};
    /// Set while the request waits in the queue of this daemon.
    std::optional<base::time_point> queued_at_;
    base::duration queued_{};
    int moves_ = 0;
    bool is_proved_ = false;
    /// The current attempt is the trial of a request in quarantine.
    bool is_trial_ = false;
    int status_ = 0;
};

} // namespace tanagerlead::entry
