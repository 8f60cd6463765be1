#include "src/entry/call.hpp"

#include "src/entry/relay_fields.hpp"
#include "src/routing/answer_pace.hpp"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;
using routing::attempt_failure;
using routing::attempt_outcome;
using routing::retry_decision;

namespace
{

/// A target may close a connection that has been idle for longer just as a
/// request is sent. A request that must not run twice avoids that race.
constexpr base::duration max_idle_non_repeatable = 700ms;
constexpr base::duration max_idle_repeatable = 60s;
/// Interval at which a call with a stalled target looks for a free slot at
/// another target.
constexpr base::duration stall_recheck_interval = 100ms;
/// A begun answer is moved only after a longer silence: its next target reads
/// the prompt and all that was answered, which takes longer than most pauses.
constexpr base::duration min_silence_of_begun = 1200ms;
/// Events between two looks at the pace of the target.
constexpr int events_per_pace_check = 8;
/// With less time left, another attempt would only occupy a slot.
constexpr base::duration min_time_for_retry = 30ms;
/// Larger answers that are not streamed are rejected.
constexpr std::size_t max_answer_bytes = 16 << 20;
/// A target that a request crashes ends soon after the first event.
constexpr base::duration time_to_prove = 1s;
constexpr std::string_view event_stream_type = "text/event-stream";

bool ends_inside_event(net::http_response const& answer)
{
    if (net::media_type(answer.headers_) != event_stream_type)
    {
        return false;
    }
    routing::event_splitter events;
    events.feed(answer.body_);
    while (events.next())
    {
    }
    return events.has_partial_event();
}

attempt_outcome call_end_for(attempt_failure failure)
{
    switch (failure)
    {
    case attempt_failure::not_connected:
        return attempt_outcome::not_connected;
    case attempt_failure::rejected:
        return attempt_outcome::rejected;
    case attempt_failure::wrong_target:
        return attempt_outcome::displaced;
    case attempt_failure::target_error:
        return attempt_outcome::failed;
    case attempt_failure::broken:
    case attempt_failure::stalled:
        break;
    }
    return attempt_outcome::lost;
}

} // namespace

call::call(call_delegate& delegate,
           std::shared_ptr<net::caller_connection> caller,
           request_context context)
    : delegate_{delegate}, caller_{std::move(caller)},
      context_{std::move(context)}, received_{net::now()},
      deadline_{received_ + std::min(context_.metadata_.time_left_.value_or(
                                         context_.route_->timeout_),
                                     context_.route_->timeout_)},
      deadline_timer_{delegate.loop(),
                      [this]
                      {
                          on_deadline();
                      }},
      stall_timer_{delegate.loop(),
                   [this]
                   {
                       on_stall_timeout();
                   }},
      settle_timer_{delegate.loop(),
                    [this]
                    {
                        on_settled();
                    }},
      last_event_{context_.metadata_.last_event_}
{
}

bool call::is_stream() const
{
    return context_.route_->kind_ == routing::route_kind::stream;
}

routing::pending_call call::make_item() const
{
    routing::pending_call out;
    auto& work = out.work_;
    work.request_ = context_.id_;
    work.pool_ = context_.pool_;
    work.tier_ = context_.tier_;
    if (context_.workspace_ != nullptr)
    {
        work.workspace_ = context_.workspace_->id_;
    }
    work.prompt_tokens_ = context_.metadata_.prompt_tokens_;
    work.max_output_tokens_ = context_.metadata_.max_output_tokens_;
    work.fingerprint_ = context_.fingerprint_;
    work.received_ = received_;
    work.deadline_ = deadline_;
    out.objective_ = context_.route_->objective_;
    out.tried_ = tried_;
    out.affinity_key_ = context_.metadata_.affinity_;
    out.prompt_ = context_.metadata_.sized_parts_;
    out.urgent_ = context_.relative_rank_ == 0;
    out.answer_started_ = has_begun();
    if (out.answer_started_)
    {
        work.tier_ = base::tier{0};
        if (is_stream())
        {
            out.version_ = version_;
        }
    }
    return out;
}

void call::start()
{
    caller_->on_disconnect([this] { on_caller_disconnected(); });
    deadline_timer_.set(deadline_);
    if (is_resumption())
    {
        delegate_.find_origin(*this);
        return;
    }
    submit();
}

void call::submit()
{
    if (try_relay())
    {
        return;
    }
    if (is_bound() && !find_version())
    {
        apply_verdict(retry_decision::truncate, "unknown_version");
        return;
    }
    queued_at_ = net::now();
    delegate_.submit(make_item());
}

void call::leave_queue()
{
    if (queued_at_)
    {
        queued_ += net::now() - *queued_at_;
        queued_at_.reset();
    }
}

void call::on_refusal(sched::refusal_cause cause, base::duration retry_after)
{
    leave_queue();
    auto const why = sched::to_string(cause);
    // A refused retry may follow an attempt that was executed, and then the
    // request must not be reported as not executed.
    if (progress_.answer_started_)
    {
        apply_verdict(retry_decision::truncate, why);
        return;
    }
    if (progress_.may_have_run_)
    {
        apply_verdict(retry_decision::fail, why);
        return;
    }
    answer_locally(503, why, retry_after);
}

void call::on_grant(routing::target_info const& target)
{
    assert(state_ == state::waiting);
    leave_queue();
    target_ = target;
    is_at_relay_ = false;
    open_channel();
}

void call::open_channel()
{
    state_ = state::connecting;
    auto const max_idle = context_.route_->is_retryable()
                              ? max_idle_repeatable
                              : max_idle_non_repeatable;
    delegate_.acquire_channel(
        target_, max_idle,
        [self = weak_from_this()](std::shared_ptr<net::channel> opened,
                                  net::error_code const& error)
        {
            auto const alive = self.lock();
            if (alive && alive->state_ == state::connecting)
            {
                alive->on_channel_open(std::move(opened), error);
            }
            else if (opened)
            {
                opened->close();
            }
        });
}

void call::on_channel_open(std::shared_ptr<net::channel> opened,
                           net::error_code const& error)
{
    if (!opened)
    {
        ++progress_.failed_connects_;
        tried_.push_back(target_.id_);
        fail(attempt_failure::not_connected, error.message());
        return;
    }
    channel_ = std::move(opened);
    if (is_at_relay_)
    {
        // The relay checks the quarantine and the version itself.
        is_trial_ = false;
        send();
        return;
    }
    is_bound() ? on_bound_channel_open() : begin_stream();
}

void call::send_if_permitted()
{
    auto const permission = delegate_.ask_to_send(*this);
    if (permission == send_permission::denied)
    {
        abandon_unsent();
        refuse_quarantined();
        return;
    }
    is_trial_ = permission == send_permission::trial;
    send();
}

void call::abandon_unsent()
{
    delegate_.release_channel(target_.id_, channel_);
    channel_.reset();
    end_attempt(attempt_outcome::cancelled);
}

void call::refuse_quarantined()
{
    auto const verdict =
        routing::decide_without_retry(attempt_failure::broken, progress_);
    if (verdict == retry_decision::refuse)
    {
        answer_locally(503, "quarantined", retry_when_quarantined);
        return;
    }
    apply_verdict(verdict, "quarantined");
}

// A request that is already at a target is withdrawn before it can crash it.
void call::on_quarantine_changed()
{
    auto const self = shared_from_this();
    if (state_ != state::running || is_trial_ || has_run_well() ||
        !delegate_.is_quarantined(*this))
    {
        return;
    }
    channel_->close();
    channel_.reset();
    progress_.may_have_run_ = true;
    end_attempt(attempt_outcome::cancelled);
    refuse_quarantined();
}

bool call::has_run_well() const
{
    return attempt_event_count_ > 0 &&
           attempt_last_event_at_ - attempt_first_event_at_ >= time_to_prove;
}

net::http_request call::own_request() const
{
    forward_metadata metadata;
    metadata.target_ = target_.id_;
    metadata.time_left_ = deadline_ - attempt_sent_at_;
    metadata.last_event_ = last_event_;
    if (context_.workspace_ != nullptr)
    {
        metadata.workspace_ = context_.workspace_->id_;
    }
    auto out = context_.request_;
    out.headers_ = delegate_.get_protocol().forward_headers(
        context_.request_.headers_, metadata);
    return out;
}

void call::send()
{
    state_ = state::running;
    tried_.push_back(target_.id_);
    attempt_sent_at_ = net::now();
    if (progress_.attempts_ == 0)
    {
        first_sent_at_ = attempt_sent_at_;
    }
    // The relay may use all attempts that are left, and does not say how many
    // it has used.
    relayed_attempts_ =
        is_at_relay_
            ? std::max(1, context_.route_->max_attempts_ - progress_.attempts_)
            : 0;
    progress_.attempts_ += is_at_relay_ ? relayed_attempts_ : 1;
    attempt_event_count_ = 0;
    is_proved_ = false;
    event_splitter_ = {};
    drop_answer_body();
    is_streamed_ = false;
    is_caller_slow_ = false;
    auto const request = is_at_relay_ ? relayed_request() : own_request();
    caller_->on_drained(
        [this]
        {
            if (channel_)
            {
                reading_since_ = net::now();
                channel_->pause(false);
            }
        });
    arm_stall_timer();
    channel_->exchange(request, *this);
}

net::head_action call::on_head(net::http_response const& head)
{
    auto const metadata = delegate_.get_protocol().read_answer_metadata(head);
    // Even the answer to another request is the target's own statement, unless
    // another target has taken over the address.
    if (!metadata.is_wrong_target_ && !is_at_relay_)
    {
        delegate_.on_announcement(target_, metadata);
    }
    auto const is_refusal_without_id =
        metadata.request_id_.empty() && metadata.not_executed_;
    auto const is_from_relay =
        is_at_relay_ && head.headers_.find(relay_fields::result) != nullptr;
    if (metadata.request_id_ != context_.metadata_.request_id_ &&
        !is_refusal_without_id && !is_from_relay)
    {
        delegate_.log().write(
            log_category::attempt,
            log_line{"Answer to another request skipped."}
                .with("request", context_.metadata_.request_id_)
                .with("target", target_.id_.str())
                .with("foreign_request", metadata.request_id_),
            net::now());
        return net::head_action::skip;
    }
    if (metadata.is_limit_malformed_)
    {
        delegate_.log().write(
            log_category::bad_input,
            log_line{"Malformed limit of a target ignored."}.with(
                "target", target_.id_.str()),
            net::now());
    }
    else if (!metadata.is_wrong_target_ && !is_at_relay_)
    {
        delegate_.on_limit(target_, metadata.limit_, attempt_sent_at_);
    }
    if (!metadata.is_wrong_target_ && !is_at_relay_)
    {
        delegate_.on_brittle(target_, metadata.max_rejections_,
                             attempt_sent_at_);
    }
    if (!metadata.not_executed_ && !is_at_relay_)
    {
        delegate_.on_admitted(*this);
    }
    drop_answer_body();
    answer_ = head;
    answer_metadata_ = metadata;
    auto const type = net::media_type(head.headers_);
    is_streamed_ = is_stream() && head.status_ == 200 && metadata.is_signed_ &&
                   (type.empty() || type == event_stream_type);
    auto const can_follow = !progress_.answer_started_ || is_streamed_ ||
                            metadata.not_executed_ || is_from_relay;
    if (metadata.is_altered_ || !can_follow)
    {
        return net::head_action::refuse;
    }
    return net::head_action::accept;
}

void call::on_body(std::string_view bytes)
{
    auto const self = shared_from_this();
    if (is_streamed_)
    {
        event_splitter_.feed(bytes);
        forward_events();
        if (event_splitter_.is_too_large() && channel_)
        {
            channel_->close();
            on_broken("event too large");
        }
        return;
    }
    if (answer_.body_.size() + bytes.size() > max_answer_bytes ||
        !delegate_.answer_budget().take(bytes.size()))
    {
        channel_->close();
        on_broken("answer too large");
        return;
    }
    answer_.body_.append(bytes);
}

void call::drop_answer_body()
{
    delegate_.answer_budget().give_back(answer_.body_.size());
    answer_ = {};
}

void call::forward_events()
{
    auto const now = net::now();
    while (auto const event = event_splitter_.next())
    {
        // A resumed stream may repeat events that the caller already has.
        if (event->id_ && last_event_ && *event->id_ <= *last_event_)
        {
            continue;
        }
        if (event->id_)
        {
            last_event_ = event->id_;
        }
        auto& latency = delegate_.latency(context_.pool_);
        if (attempt_event_count_ == 0)
        {
            attempt_first_event_at_ = now;
            latency.first_.observe(
                now - attempt_sent_at_ -
                routing::max_prefill_time(context_.metadata_.prompt_tokens_));
        }
        else
        {
            latency.gap_.observe(now - attempt_last_event_at_);
        }
        attempt_last_event_at_ = now;
        ++attempt_event_count_;
        if (!progress_.answer_started_)
        {
            on_first_event();
        }
        on_event_sent(now);
        send_to_caller(event->bytes_);
    }
    if (!is_proved_ && has_run_well())
    {
        is_proved_ = true;
        delegate_.on_proof(*this);
    }
    arm_stall_timer();
    if (caller_->is_send_buffer_full())
    {
        is_caller_slow_ = true;
        channel_->pause(true);
    }
    leave_slow_target();
}

void call::on_event_sent(base::time_point now)
{
    if (events_sent_ > 0)
    {
        longest_gap_ = std::max(longest_gap_, now - last_event_sent_at_);
    }
    last_event_sent_at_ = now;
    ++events_sent_;
}

void call::send_to_caller(std::string_view bytes)
{
    if (!progress_.answer_started_)
    {
        progress_.answer_started_ = true;
        first_byte_at_ = net::now();
        status_ = answer_.status_;
        auto head = answer_;
        head.body_.clear();
        net::remove_hop_by_hop_fields(head.headers_);
        caller_->begin_answer(head);
    }
    caller_->send_chunk(bytes);
}

void call::on_complete(net::answer_end end)
{
    auto const self = shared_from_this();
    if (channel_->is_reusable())
    {
        delegate_.release_channel(target_.id_, channel_);
    }
    channel_.reset();
    stall_timer_.clear();
    if (is_streamed_)
    {
        finish_stream(end);
        return;
    }
    on_whole_answer();
}

void call::finish_stream(net::answer_end end)
{
    // A stream has at least one event, so a close before the first one is a
    // broken connection as well.
    auto const is_broken =
        event_splitter_.has_partial_event() ||
        (end == net::answer_end::close && attempt_event_count_ == 0);
    if (is_broken)
    {
        log_early_end(end);
        on_broken("stream ended early");
        return;
    }
    if (attempt_event_count_ > 0)
    {
        delegate_.on_proof(*this);
    }
    if (attempt_event_count_ > 1)
    {
        delegate_.on_service_time(
            target_.id_, attempt_last_event_at_ - attempt_first_event_at_,
            attempt_event_count_ - 1);
    }
    end_attempt(attempt_outcome::finished);
    if (!progress_.answer_started_)
    {
        send_to_caller("");
    }
    caller_->end_answer();
    finish(call_outcome::complete, "");
}

void call::log_early_end(net::answer_end end) const
{
    delegate_.log().write(
        log_category::attempt,
        log_line{"Stream ended early."}
            .with("request", context_.metadata_.request_id_)
            .with("target", target_.id_.str())
            .with("ended_by", net::to_string(end))
            .with("partial_bytes", static_cast<std::int64_t>(
                                       event_splitter_.partial_event().size())),
        net::now());
}

// Forwards only answers that the target signed.
void call::on_whole_answer()
{
    auto const status = answer_.status_;
    if (is_at_relay_ && handle_relay_result())
    {
        return;
    }
    if (answer_metadata_.not_executed_)
    {
        ++progress_.rejections_;
        fail(answer_metadata_.is_wrong_target_ ? attempt_failure::wrong_target
                                               : attempt_failure::rejected,
             "status " + std::to_string(status));
        return;
    }
    if (!answer_metadata_.is_signed_)
    {
        progress_.may_have_run_ = true;
        fail(attempt_failure::broken,
             "unproven status " + std::to_string(status));
        return;
    }
    if (ends_inside_event(answer_))
    {
        on_broken("stream ended inside an event");
        return;
    }
    if (status >= 500)
    {
        progress_.may_have_run_ = true;
        fail(attempt_failure::target_error, "status " + std::to_string(status));
        return;
    }
    if (status / 100 == 2)
    {
        delegate_.on_proof(*this);
    }
    delegate_.on_service_time(target_.id_, net::now() - attempt_sent_at_, 1);
    if (!is_stream())
    {
        delegate_.latency(context_.pool_)
            .first_.observe(net::now() - attempt_sent_at_);
    }
    end_attempt(attempt_outcome::finished);
    apply_verdict(retry_decision::forward_error, "");
}

void call::on_broken(std::string const& detail)
{
    auto const self = shared_from_this();
    channel_.reset();
    progress_.may_have_run_ = true;
    auto const target = target_.id_;
    auto const was_at_relay = is_at_relay_;
    fail(attempt_failure::broken, detail);
    if (!was_at_relay)
    {
        delegate_.on_broken(*this, target);
    }
}

void call::arm_stall_timer()
{
    if (is_at_relay_)
    {
        return;
    }
    routing::attempt_state const context{progress_.attempts_,
                                         attempt_event_count_,
                                         context_.metadata_.prompt_tokens_};
    if (auto const limit = routing::stall_timeout(
            context, *context_.route_, delegate_.latency(context_.pool_)))
    {
        stall_timer_.set_after(*limit);
    }
}

// While the caller reads slowly, nothing is read from the target.
bool call::is_silent() const
{
    auto const last = std::max(attempt_last_event_at_, reading_since_);
    return attempt_event_count_ == 0 ||
           (!caller_->is_send_buffer_full() &&
            net::now() - last >= min_silence_of_begun);
}

bool call::may_leave_target() const
{
    auto progress = progress_;
    progress.may_have_run_ = true;
    auto const verdict = routing::decide_retry(attempt_failure::stalled,
                                               progress, *context_.route_);
    return verdict == retry_decision::retry &&
           deadline_ - net::now() >= min_time_for_retry;
}

void call::on_stall_timeout()
{
    auto const self = shared_from_this();
    if (state_ != state::running || !channel_ || !may_leave_target() ||
        move_to_relay())
    {
        return;
    }
    if (!is_silent() ||
        !move(std::nullopt, "Attempt moved from a stalled target."))
    {
        stall_timer_.set_after(stall_recheck_interval);
    }
}

void call::leave_slow_target()
{
    if (is_at_relay_ || is_caller_slow_ || !channel_ ||
        attempt_event_count_ % events_per_pace_check != 0)
    {
        return;
    }
    auto const limit = routing::max_event_time_elsewhere(
        {events_sent_, attempt_event_count_,
         attempt_last_event_at_ - attempt_first_event_at_,
         deadline_ - attempt_last_event_at_});
    if (limit && may_leave_target())
    {
        move(limit, "Attempt moved from a slow target.");
    }
}

// The target may still answer, so the attempt is given up only if another
// target has a free slot now.
bool call::move(std::optional<base::duration> max_event_time,
                std::string_view message)
{
    if (!can_move() ||
        (is_bound() && (!delegate_.may_move_streams() || !find_version())))
    {
        return false;
    }
    auto next = make_item();
    next.max_event_time_ = max_event_time;
    auto const* const slot = delegate_.find_free_slot(next);
    if (slot == nullptr || !delegate_.take_retry(context_.pool_))
    {
        return false;
    }
    auto const now = net::now();
    delegate_.log().write(log_category::attempt,
                          log_line{std::string{message}}
                              .with("request", context_.metadata_.request_id_)
                              .with("target", target_.id_.str())
                              .with("next", slot->id_.str())
                              .with("events", attempt_event_count_)
                              .with_ms("sent_ms", now - attempt_sent_at_),
                          now);
    auto const chosen = *slot;
    channel_->close();
    channel_.reset();
    progress_.may_have_run_ = true;
    end_attempt(attempt_outcome::lost);
    delegate_.assign(next, chosen.id_);
    ++moves_;
    state_ = state::waiting;
    on_grant(chosen);
    return true;
}

void call::end_attempt(attempt_outcome end)
{
    stall_timer_.clear();
    delegate_.on_attempt_end(*this, end);
}

void call::fail(attempt_failure failure, std::string const& detail)
{
    auto const end = call_end_for(failure);
    end_attempt(end);
    delegate_.log().write(log_category::attempt,
                          log_line{"Attempt failed."}
                              .with("request", context_.metadata_.request_id_)
                              .with("target", target_.id_.str())
                              .with("attempt", progress_.attempts_)
                              .with("reason", detail),
                          net::now());
    // Failed connects here say nothing about those of another daemon.
    if (failure == attempt_failure::not_connected && progress_.attempts_ == 0 &&
        try_relay())
    {
        return;
    }
    auto verdict = routing::decide_retry(failure, progress_, *context_.route_);
    auto const no_time = deadline_ - net::now() < min_time_for_retry;
    if (verdict == retry_decision::reconnect && no_time)
    {
        verdict = routing::decide_without_retry(failure, progress_);
    }
    if (verdict == retry_decision::retry &&
        (no_time || !delegate_.take_retry(context_.pool_)))
    {
        verdict = routing::decide_without_retry(failure, progress_);
    }
    apply_verdict(verdict, detail);
}

void call::apply_verdict(retry_decision verdict, std::string const& cause)
{
    switch (verdict)
    {
    case retry_decision::reconnect:
    case retry_decision::retry:
        state_ = state::waiting;
        submit();
        return;
    case retry_decision::refuse:
        answer_locally(503, cause, delegate_.retry_after(*this));
        return;
    case retry_decision::forward_error:
        status_ = answer_.status_;
        net::remove_hop_by_hop_fields(answer_.headers_);
        caller_->answer(answer_);
        finish(status_ >= 500 ? call_outcome::target_error
                              : call_outcome::complete,
               cause);
        return;
    case retry_decision::fail:
        answer_locally(502, cause, std::nullopt);
        return;
    case retry_decision::truncate:
        caller_->abort();
        finish(call_outcome::cut, cause);
        return;
    }
}

void call::answer_locally(int status, std::string const& cause,
                          std::optional<base::duration> retry_after)
{
    status_ = status;
    net::http_response response;
    response.status_ = status;
    if (context_.is_relayed_)
    {
        response.headers_.add(relay_fields::result, relay_result(status));
    }
    if (retry_after)
    {
        net::set_retry_after(response, *retry_after);
    }
    caller_->answer(response);
    finish(status == 503 ? call_outcome::refused : call_outcome::failed, cause);
}

void call::on_deadline()
{
    auto const self = shared_from_this();
    if (state_ == state::finished)
    {
        return;
    }
    if (state_ == state::waiting)
    {
        delegate_.withdraw(*this);
        on_refusal(sched::refusal_cause::deadline,
                   delegate_.retry_after(*this));
        return;
    }
    auto const was_sent = state_ == state::running;
    if (channel_)
    {
        channel_->close();
        channel_.reset();
    }
    progress_.may_have_run_ = progress_.may_have_run_ || was_sent;
    end_attempt(attempt_outcome::cancelled);
    if (progress_.answer_started_)
    {
        apply_verdict(retry_decision::truncate, "deadline");
    }
    else if (progress_.may_have_run_)
    {
        answer_locally(504, "deadline", std::nullopt);
    }
    else
    {
        apply_verdict(retry_decision::refuse, "deadline");
    }
}

void call::on_caller_disconnected()
{
    auto const self = shared_from_this();
    if (state_ == state::finished)
    {
        return;
    }
    if (channel_)
    {
        channel_->close();
        channel_.reset();
    }
    if (state_ == state::waiting)
    {
        leave_queue();
        delegate_.withdraw(*this);
    }
    else
    {
        progress_.may_have_run_ =
            progress_.may_have_run_ || state_ == state::running;
        end_attempt(attempt_outcome::cancelled);
    }
    caller_->abort();
    finish(call_outcome::caller_left, "");
}

void call::finish(call_outcome outcome, std::string const& cause)
{
    if (state_ == state::finished)
    {
        return;
    }
    state_ = state::finished;
    drop_answer_body();
    deadline_timer_.clear();
    stall_timer_.clear();
    settle_timer_.clear();
    caller_->on_disconnect(nullptr);
    caller_->on_drained(nullptr);
    delegate_.on_call_finished(*this, outcome, cause);
}

} // namespace tanagerlead::entry
