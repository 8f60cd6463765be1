#include "src/http/target_run.hpp"

#include "src/http/header_names.hpp"
#include "src/http/usage.hpp"
#include "src/request/metrics.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>

namespace tanagerlead::http
{

namespace
{
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int first_server_error = 500;
constexpr char const* end_of_stream = "[DONE]";
} // namespace

/// How a run that was not completed is told to scheduler and caller.
struct target_run::ending
{
    verdict reason_;
    sched::dispatch_event event_;
    char const* code_;
    char const* detail_;
};

target_run::target_run(target_run_services const& use, target_job const& job,
                       request::dispatch_to to)
    : use_{use}, job_{job}, to_{std::move(to)}, record_{*job.record_},
      parser_{use.limits_.most_event_bytes_},
      next_pause_{use.limits_.resume_pause_}, pause_{use.loop_, [this]
                                                     {
                                                         resume();
                                                     }}
{
}

void target_run::start(ended done)
{
    done_ = std::move(done);
    exchange(job_.call_);
}

void target_run::stop()
{
    stopping_ = true;
    if (pause_.is_set())
    {
        pause_.clear();
        finish(verdict::abandoned);
    }
    else if (exchange_ && step_ != step::cancellation)
    {
        exchange_->stop();
    }
}

void target_run::stop_if_abandoned()
{
    if (is_abandoned())
    {
        stop();
    }
}

void target_run::exchange(target_call const& call)
{
    // Half an event from a connection that broke must not meet the rest of it
    // from another.
    parser_ = request::sse_parser{use_.limits_.most_event_bytes_};
    verdict_ = verdict::open;
    connection_limits const limits{use_.limits_.connect_,
                                   job_.stream_ ? use_.limits_.stream_silence_
                                                : use_.limits_.answer_silence_};
    exchange_ = use_.connection_.begin(to_.address_, call, limits, *this);
}

bool target_run::on_connected()
{
    if (step_ == step::cancellation)
    {
        return true;
    }
    if (!dispatched_)
    {
        dispatched_ = true;
        record_.dispatch();
        report(sched::dispatch_event::started);
    }
    return !stopping_;
}

void target_run::on_end(exchange_end end)
{
    exchange_.reset();
    switch (step_)
    {
    case step::first_answer:
        on_first_answer(end);
        return;
    case step::resumption:
        on_resumption(end);
        return;
    case step::cancellation:
        conclude();
        return;
    }
}

void target_run::on_first_answer(exchange_end end)
{
    if (end == exchange_end::not_sent)
    {
        record_.connect_failed();
        report(sched::dispatch_event::not_sent);
        done_(false);
        return;
    }
    auto const reason = judge(end);
    if (reason == verdict::cut && job_.stream_ && (!head_ || is_stream_))
    {
        step_ = step::resumption;
        resume();
        return;
    }
    finish(reason);
}

bool target_run::decide(verdict value)
{
    verdict_ = value;
    return false;
}

bool target_run::echoes_request(target_head const& head) const
{
    // Plain services need not echo the id.
    auto const echoed = head.headers_.value("X-Request-Id");
    auto const optional = !job_.model_ && echoed.empty();
    return optional || echoed == record_.identity().id_.str();
}

bool target_run::on_head(target_head const& head)
{
    if (step_ == step::cancellation)
    {
        return false;
    }
    if (step_ == step::resumption && head.status_ != status_ok)
    {
        return decide(head.status_ == status_not_found ? verdict::forgotten
                                                       : verdict::cut);
    }
    if (!echoes_request(head))
    {
        return decide(verdict::wrong_answer);
    }
    if (!head_)
    {
        begin_answer(head);
    }
    return true;
}

void target_run::begin_answer(target_head const& head)
{
    head_ = head;
    is_stream_ = job_.stream_ && head.status_ == status_ok &&
                 head.content_type_.starts_with("text/event-stream");
    request::answer_head answer{
        head.status_, head.content_type_, is_stream_, to_.target_, {}};
    if (!job_.model_)
    {
        std::copy_if(head.headers_.begin(), head.headers_.end(),
                     std::back_inserter(answer.headers_),
                     [](net::header_field const& field)
                     { return passes_to_caller(field.name_); });
    }
    record_.answer().begin(std::move(answer));
}

bool target_run::on_bytes(std::string_view bytes)
{
    if (is_abandoned())
    {
        return decide(verdict::abandoned);
    }
    if (!is_stream_)
    {
        return record_.answer().append(std::string{bytes}) ||
               decide(verdict::too_large);
    }
    std::vector<request::sse_event> events;
    auto const fits = parser_.feed(bytes, events);
    for (auto& event : events)
    {
        if (!take_event(std::move(event)))
        {
            return false;
        }
    }
    return fits || decide(verdict::too_large);
}

bool target_run::continues(request::sse_event const& event)
{
    return !event.id_ || *event.id_ <= last_id_ + 1;
}

bool target_run::take_event(request::sse_event event)
{
    if (!continues(event))
    {
        return decide(verdict::wrong_answer);
    }
    if (event.data_ == end_of_stream)
    {
        return decide(verdict::complete);
    }
    if (event.id_ && *event.id_ <= last_id_)
    {
        return true;
    }
    last_id_ = event.id_.value_or(last_id_);
    note_progress();
    last_data_ = event.data_;
    event.id_ = events_;
    return record_.answer().append(serialize(event)) ||
           decide(verdict::too_large);
}

void target_run::note_progress()
{
    auto const now = use_.clock_.now();
    if (events_ == 0)
    {
        record_.first_output();
        report(sched::dispatch_event::first_token);
    }
    else
    {
        gaps_.add(now - last_event_at_);
    }
    last_event_at_ = now;
    ++events_;
}

target_run::verdict target_run::judge(exchange_end end) const
{
    if (verdict_ != verdict::open)
    {
        return verdict_;
    }
    switch (end)
    {
    case exchange_end::complete:
        // A stream says itself that it is complete.
        return is_stream_ ? verdict::cut : verdict::complete;
    case exchange_end::stopped:
        return verdict::abandoned;
    default:
        return verdict::cut;
    }
}

void target_run::resume()
{
    if (is_abandoned())
    {
        finish(verdict::abandoned);
        return;
    }
    events_before_ = events_;
    exchange(stream_call("GET"));
}

void target_run::on_resumption(exchange_end end)
{
    auto const reason = judge(end);
    if (reason != verdict::cut)
    {
        finish(reason);
        return;
    }
    if (events_ > events_before_)
    {
        vain_resumes_ = 0;
        next_pause_ = use_.limits_.resume_pause_;
    }
    ++vain_resumes_;
    if (vain_resumes_ >= use_.limits_.most_resumes_)
    {
        finish(verdict::cut);
        return;
    }
    pause_.set_after(next_pause_);
    next_pause_ *= 2;
}

target_call target_run::stream_call(char const* method) const
{
    auto const id = record_.identity().id_.str();
    target_call call;
    call.method_ = method;
    call.path_ = "/v1/streams/" + id;
    call.headers_.add("X-Request-Id", id);
    call.headers_.add("Last-Event-ID", std::to_string(last_id_));
    return call;
}

bool target_run::is_abandoned() const
{
    return stopping_ || (job_.grace_ && record_.readers() == 0 &&
                         record_.unread_for() >= *job_.grace_);
}

void target_run::finish(verdict reason)
{
    reason_ = reason;
    record_.count_tokens(read_usage());
    if (gaps_.count() > 0)
    {
        use_.metrics_.add_gaps(record_.identity().workspace_,
                               record_.identity().tier_, gaps_);
    }
    auto const unwanted =
        reason == verdict::too_large || reason == verdict::abandoned;
    if (unwanted && job_.model_)
    {
        cancel_at_target();
        return;
    }
    conclude();
}

void target_run::cancel_at_target()
{
    step_ = step::cancellation;
    connection_limits const limits{use_.limits_.connect_,
                                   use_.limits_.connect_};
    exchange_ = use_.connection_.begin(to_.address_, stream_call("DELETE"),
                                       limits, *this);
}

void target_run::conclude()
{
    static constexpr std::array endings{
        ending{verdict::cut, sched::dispatch_event::target_lost, "target_lost",
               "the connection to the target was lost"},
        ending{verdict::forgotten, sched::dispatch_event::target_lost,
               "target_lost", "the target no longer knows the stream"},
        ending{verdict::wrong_answer, sched::dispatch_event::target_error,
               "wrong_answer", "the target's answer does not belong here"},
        ending{verdict::too_large, sched::dispatch_event::cancelled,
               "answer_too_large", "the answer is larger than the limit"},
        ending{verdict::abandoned, sched::dispatch_event::cancelled,
               "cancelled", "nobody reads the answer"},
    };
    if (reason_ == verdict::complete)
    {
        report(head_->status_ >= first_server_error
                   ? sched::dispatch_event::target_error
                   : sched::dispatch_event::finished);
        record_.end({request::outcome::complete, 0, {}, {}, {}});
    }
    else
    {
        auto const* const found = std::find_if(
            endings.begin(), endings.end(),
            [this](ending const& each) { return each.reason_ == reason_; });
        assert(found != endings.end());
        report(found->event_);
        record_.end({request::outcome::unknown,
                     status_bad_gateway,
                     found->code_,
                     {base::error_code::unknown_effect, "run on target",
                      to_.target_.str(), found->detail_},
                     {}});
    }
    done_(true);
}

request::token_usage target_run::read_usage() const
{
    if (!job_.model_)
    {
        return {};
    }
    if (is_stream_)
    {
        auto usage = parse_usage(last_data_);
        if (usage.output_ == 0)
        {
            usage.output_ = static_cast<base::token_count>(events_);
        }
        return usage;
    }
    return parse_usage(record_.answer().content());
}

void target_run::report(sched::dispatch_event event) const
{
    auto const usage = record_.tokens();
    use_.dispatcher_.report({record_.identity().id_, to_.target_, event,
                             record_.state().since_dispatch(use_.clock_.now()),
                             usage.output_, usage.cached_});
}

} // namespace tanagerlead::http
