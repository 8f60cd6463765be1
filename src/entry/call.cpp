#include "src/entry/call.hpp"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;
using routing::attempt_failure;
using routing::attempt_verdict;
using routing::call_end;

namespace
{

/// A kept connection that was idle for longer may meet the target's close;
/// what must not run twice does not take that chance.
constexpr base::duration most_idle_unrepeatable = 700ms;
constexpr base::duration most_idle_repeatable = 60s;
/// Until the next look for a free place for a request whose target is silent.
constexpr base::duration stall_recheck = 100ms;
/// With less time left another attempt would only take a place.
constexpr base::duration least_time_for_retry = 30ms;
/// Larger whole answers are refused.
constexpr std::size_t most_answer_bytes = 16 << 20;

call_end end_for(attempt_failure failure)
{
    switch (failure)
    {
    case attempt_failure::not_connected:
        return call_end::not_connected;
    case attempt_failure::rejected:
        return call_end::rejected;
    case attempt_failure::wrong_target:
        return call_end::displaced;
    case attempt_failure::target_error:
    case attempt_failure::broken:
    case attempt_failure::silent:
        break;
    }
    return call_end::failed;
}

} // namespace

call::call(call_owner& owner, std::shared_ptr<net::caller_connection> caller,
           subject about)
    : owner_{owner}, caller_{std::move(caller)}, about_{std::move(about)},
      received_{net::now()}, deadline_{received_ +
                                       std::min(
                                           about_.marks_.time_left_.value_or(
                                               about_.route_->timeout_),
                                           about_.route_->timeout_)},
      deadline_alarm_{owner.loop(),
                      [this]
                      {
                          on_deadline();
                      }},
      stall_alarm_{owner.loop(),
                   [this]
                   {
                       on_stall();
                   }},
      last_event_{about_.marks_.last_event_}
{
}

bool call::is_stream() const
{
    return about_.route_->kind_ == routing::route_kind::stream;
}

routing::call_item call::item() const
{
    routing::call_item out;
    auto& work = out.work_;
    work.request_ = about_.id_;
    work.pool_ = about_.pool_;
    work.tier_ = about_.tier_;
    if (about_.workspace_ != nullptr)
    {
        work.workspace_ = about_.workspace_->id_;
    }
    work.prompt_tokens_ = about_.marks_.prompt_tokens_;
    work.most_output_tokens_ = about_.marks_.most_output_tokens_;
    work.fingerprint_ = about_.fingerprint_;
    work.received_ = received_;
    work.deadline_ = deadline_;
    out.objective_ = about_.route_->objective_;
    out.tried_ = tried_;
    out.affinity_ = about_.marks_.affinity_;
    out.urgent_ = about_.deference_ == 0;
    out.begun_ = progress_.answer_begun_;
    if (out.begun_)
    {
        work.tier_ = base::tier{0};
    }
    return out;
}

void call::start()
{
    caller_->on_left([this] { on_caller_left(); });
    deadline_alarm_.set(deadline_);
    owner_.submit(item());
}

void call::on_refusal(sched::refusal_cause cause, base::duration retry_after)
{
    auto const why = sched::to_string(cause);
    // A retry that found no place follows an attempt that may have run.
    if (progress_.answer_begun_)
    {
        follow(attempt_verdict::cut, why);
        return;
    }
    if (progress_.may_have_run_)
    {
        follow(attempt_verdict::fail, why);
        return;
    }
    answer_own(503, why, retry_after);
}

void call::on_grant(routing::target_info const& target)
{
    assert(state_ == state::waiting);
    state_ = state::connecting;
    target_ = target;
    auto const most_idle = about_.route_->may_repeat() ? most_idle_repeatable
                                                       : most_idle_unrepeatable;
    owner_.open_channel(
        target, most_idle,
        [self = weak_from_this()](std::shared_ptr<net::channel> opened,
                                  net::error_code const& error)
        {
            auto const alive = self.lock();
            if (alive && alive->state_ == state::connecting)
            {
                alive->on_channel(std::move(opened), error);
            }
            else if (opened)
            {
                opened->close();
            }
        });
}

void call::on_channel(std::shared_ptr<net::channel> opened,
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
    send();
}

void call::send()
{
    state_ = state::running;
    ++progress_.attempts_;
    tried_.push_back(target_.id_);
    attempt_sent_ = net::now();
    if (progress_.attempts_ == 1)
    {
        first_sent_ = attempt_sent_;
    }
    attempt_events_ = 0;
    events_ = {};
    answer_ = {};
    streams_ = false;
    forward_marks marks;
    marks.target_ = target_.id_;
    marks.time_left_ = deadline_ - attempt_sent_;
    marks.last_event_ = last_event_;
    if (about_.workspace_ != nullptr)
    {
        marks.workspace_ = about_.workspace_->id_;
    }
    net::http_request request;
    request.method_ = about_.request_.method_;
    request.target_ = about_.request_.target_;
    request.headers_ = owner_.speech().forward(about_.request_.headers_, marks);
    request.body_ = about_.request_.body_;
    caller_->on_drained(
        [this]
        {
            if (channel_)
            {
                channel_->pause(false);
            }
        });
    arm_stall();
    channel_->exchange(request, *this);
}

net::head_verdict call::on_head(net::http_response const& head)
{
    auto const marks = owner_.speech().read_answer(head);
    auto const unnamed_refusal = marks.request_id_.empty() && marks.not_run_;
    if (marks.request_id_ != about_.marks_.request_id_ && !unnamed_refusal)
    {
        owner_.log().write(line_kind::attempt,
                           log_line{"Skipped a foreign answer."}
                               .with("request", about_.marks_.request_id_)
                               .with("target", target_.id_.str())
                               .with("foreign_request", marks.request_id_),
                           net::now());
        return net::head_verdict::skip;
    }
    answer_ = head;
    answer_marks_ = marks;
    streams_ = is_stream() && head.status_ == 200 && marks.proven_;
    if (marks.is_altered_ || (progress_.answer_begun_ && !streams_))
    {
        return net::head_verdict::refuse;
    }
    return net::head_verdict::accept;
}

void call::on_body(std::string_view bytes)
{
    auto const self = shared_from_this();
    if (streams_)
    {
        events_.feed(bytes);
        forward_events();
        if (events_.is_too_large() && channel_)
        {
            channel_->close();
            on_broken("event too large");
        }
        return;
    }
    answer_.body_.append(bytes);
    if (answer_.body_.size() > most_answer_bytes)
    {
        channel_->close();
        on_broken("answer too large");
    }
}

void call::forward_events()
{
    auto const now = net::now();
    while (auto const event = events_.next())
    {
        // A resumed stream may repeat what the caller has.
        if (event->id_ && last_event_ && *event->id_ <= *last_event_)
        {
            continue;
        }
        if (event->id_)
        {
            last_event_ = event->id_;
        }
        auto& usual = owner_.latency(about_.pool_);
        if (attempt_events_ == 0)
        {
            attempt_first_ = now;
            usual.first_.observe(
                now - attempt_sent_ -
                routing::prompt_time(about_.marks_.prompt_tokens_));
        }
        else
        {
            usual.gap_.observe(now - attempt_last_);
        }
        attempt_last_ = now;
        ++attempt_events_;
        pass_piece(event->bytes_);
    }
    arm_stall();
    if (caller_->is_clogged())
    {
        channel_->pause(true);
    }
}

void call::pass_piece(std::string_view bytes)
{
    if (!progress_.answer_begun_)
    {
        progress_.answer_begun_ = true;
        first_piece_ = net::now();
        status_ = answer_.status_;
        auto head = answer_;
        head.body_.clear();
        net::remove_connection_fields(head.headers_);
        caller_->begin_answer(head);
    }
    caller_->send_piece(bytes);
}

void call::on_complete()
{
    auto const self = shared_from_this();
    if (channel_->is_reusable())
    {
        owner_.keep_channel(target_.id_, channel_);
    }
    channel_.reset();
    stall_alarm_.clear();
    if (streams_)
    {
        finish_stream();
        return;
    }
    deliver();
}

void call::finish_stream()
{
    if (attempt_events_ > 1)
    {
        owner_.on_pace(target_.id_, attempt_last_ - attempt_first_,
                       attempt_events_ - 1);
    }
    end_attempt(call_end::finished);
    if (events_.has_rest() || !progress_.answer_begun_)
    {
        pass_piece(events_.rest());
    }
    caller_->end_answer();
    finish(call_outcome::complete, "");
}

// Only what the target vouches for passes as its answer.
void call::deliver()
{
    auto const status = answer_.status_;
    if (answer_marks_.not_run_)
    {
        fail(status == 421 ? attempt_failure::wrong_target
                           : attempt_failure::rejected,
             "status " + std::to_string(status));
        return;
    }
    if (!answer_marks_.proven_)
    {
        progress_.may_have_run_ = true;
        fail(attempt_failure::broken,
             "unproven status " + std::to_string(status));
        return;
    }
    if (status >= 500)
    {
        progress_.may_have_run_ = true;
        fail(attempt_failure::target_error, "status " + std::to_string(status));
        return;
    }
    owner_.on_pace(target_.id_, net::now() - attempt_sent_, 1);
    if (!is_stream())
    {
        owner_.latency(about_.pool_).first_.observe(net::now() - attempt_sent_);
    }
    end_attempt(call_end::finished);
    follow(attempt_verdict::pass_on, "");
}

void call::on_broken(std::string const& detail)
{
    auto const self = shared_from_this();
    channel_.reset();
    progress_.may_have_run_ = true;
    auto const target = target_.id_;
    fail(attempt_failure::broken, detail);
    owner_.on_broken(*this, target);
}

void call::arm_stall()
{
    routing::stall_subject const about{progress_.attempts_, attempt_events_,
                                       about_.marks_.prompt_tokens_};
    if (auto const limit = routing::stall_limit(about, *about_.route_,
                                                owner_.latency(about_.pool_)))
    {
        stall_alarm_.set_after(*limit);
    }
}

void call::on_stall()
{
    auto const self = shared_from_this();
    if (state_ != state::running || !channel_)
    {
        return;
    }
    auto progress = progress_;
    progress.may_have_run_ = true;
    auto const verdict =
        routing::decide(attempt_failure::silent, progress, *about_.route_);
    if (verdict != attempt_verdict::again ||
        deadline_ - net::now() < least_time_for_retry)
    {
        return;
    }
    // The target may still answer, so it is left only for a place that is
    // free now.
    auto const next = item();
    auto const* const place = owner_.find_place(next);
    if (place == nullptr || !owner_.take_retry(about_.pool_))
    {
        stall_alarm_.set_after(stall_recheck);
        return;
    }
    owner_.log().write(line_kind::attempt,
                       log_line{"Target is silent."}
                           .with("request", about_.marks_.request_id_)
                           .with("target", target_.id_.str())
                           .with("next", place->id_.str())
                           .with_ms("sent_ms", net::now() - attempt_sent_),
                       net::now());
    auto const chosen = *place;
    channel_->close();
    channel_.reset();
    progress_.may_have_run_ = true;
    end_attempt(call_end::failed);
    owner_.place(next, chosen.id_);
    state_ = state::waiting;
    on_grant(chosen);
}

void call::end_attempt(call_end end)
{
    stall_alarm_.clear();
    owner_.on_attempt_end(*this, end);
}

void call::fail(attempt_failure failure, std::string const& detail)
{
    auto const end = end_for(failure);
    end_attempt(end);
    owner_.log().write(line_kind::attempt,
                       log_line{"Attempt failed."}
                           .with("request", about_.marks_.request_id_)
                           .with("target", target_.id_.str())
                           .with("attempt", progress_.attempts_)
                           .with("reason", detail),
                       net::now());
    auto verdict = routing::decide(failure, progress_, *about_.route_);
    auto const no_time = deadline_ - net::now() < least_time_for_retry;
    if (verdict == attempt_verdict::again_free && no_time)
    {
        verdict = routing::without_retry(failure, progress_);
    }
    if (verdict == attempt_verdict::again &&
        (no_time || !owner_.take_retry(about_.pool_)))
    {
        verdict = routing::without_retry(failure, progress_);
    }
    follow(verdict, detail);
}

void call::follow(attempt_verdict verdict, std::string const& cause)
{
    switch (verdict)
    {
    case attempt_verdict::again_free:
    case attempt_verdict::again:
        state_ = state::waiting;
        owner_.submit(item());
        return;
    case attempt_verdict::refuse:
        answer_own(503, cause, owner_.retry_after(*this));
        return;
    case attempt_verdict::pass_on:
        status_ = answer_.status_;
        net::remove_connection_fields(answer_.headers_);
        caller_->answer(answer_);
        finish(status_ >= 500 ? call_outcome::target_error
                              : call_outcome::complete,
               cause);
        return;
    case attempt_verdict::fail:
        answer_own(502, cause, std::nullopt);
        return;
    case attempt_verdict::cut:
        caller_->abort();
        finish(call_outcome::cut, cause);
        return;
    }
}

void call::answer_own(int status, std::string const& cause,
                      std::optional<base::duration> retry_after)
{
    status_ = status;
    net::http_response response;
    response.status_ = status;
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
    if (state_ == state::over)
    {
        return;
    }
    if (state_ == state::waiting)
    {
        owner_.withdraw(*this);
        on_refusal(sched::refusal_cause::deadline, owner_.retry_after(*this));
        return;
    }
    auto const was_sent = state_ == state::running;
    if (channel_)
    {
        channel_->close();
        channel_.reset();
    }
    progress_.may_have_run_ = progress_.may_have_run_ || was_sent;
    end_attempt(call_end::cancelled);
    if (progress_.answer_begun_)
    {
        follow(attempt_verdict::cut, "deadline");
    }
    else if (progress_.may_have_run_)
    {
        answer_own(504, "deadline", std::nullopt);
    }
    else
    {
        follow(attempt_verdict::refuse, "deadline");
    }
}

void call::on_caller_left()
{
    auto const self = shared_from_this();
    if (state_ == state::over)
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
        owner_.withdraw(*this);
    }
    else
    {
        progress_.may_have_run_ =
            progress_.may_have_run_ || state_ == state::running;
        end_attempt(call_end::cancelled);
    }
    caller_->abort();
    finish(call_outcome::caller_left, "");
}

void call::finish(call_outcome outcome, std::string const& cause)
{
    if (state_ == state::over)
    {
        return;
    }
    state_ = state::over;
    deadline_alarm_.clear();
    stall_alarm_.clear();
    caller_->on_left(nullptr);
    caller_->on_drained(nullptr);
    owner_.on_over(*this, outcome, cause);
}

} // namespace tanagerlead::entry
