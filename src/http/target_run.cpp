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
    bool cancels_;
};

target_run::target_run(target_run_services const& use, target_job const& job,
                       request::dispatch_to to)
    : use_{use}, job_{job}, to_{std::move(to)}, record_{*job.record_},
      parser_{use.limits_.most_event_bytes_}
{
}

bool target_run::run()
{
    auto const end = exchange(job_.call_);
    if (end == exchange_end::not_sent)
    {
        record_.connect_failed();
        report(sched::dispatch_event::not_sent);
        return false;
    }
    auto reason = judge(end);
    if (reason == verdict::cut && job_.stream_ && (!head_ || is_stream_))
    {
        reason = resume_until_ended();
    }
    finish(reason);
    return true;
}

void target_run::stop()
{
    std::lock_guard const lock{stop_mutex_};
    stopping_ = true;
    stop_asked_.notify_all();
    if (stopper_ != nullptr)
    {
        stopper_->stop();
    }
}

void target_run::stop_if_abandoned()
{
    if (is_abandoned())
    {
        stop();
    }
}

exchange_end target_run::exchange(target_call const& call)
{
    // Half an event from a connection that broke must not meet the rest of it
    // from another.
    parser_ = request::sse_parser{use_.limits_.most_event_bytes_};
    verdict_ = verdict::open;
    connection_limits const limits{use_.limits_.connect_,
                                   job_.stream_ ? use_.limits_.stream_silence_
                                                : use_.limits_.answer_silence_};
    auto const end =
        use_.connection_.exchange(to_.address_, call, limits, *this);
    std::lock_guard const lock{stop_mutex_};
    stopper_ = nullptr;
    return end;
}

void target_run::on_connected(exchange_stopper& stopper)
{
    if (!dispatched_)
    {
        dispatched_ = true;
        record_.dispatch();
        report(sched::dispatch_event::started);
    }
    std::lock_guard const lock{stop_mutex_};
    stopper_ = &stopper;
    if (stopping_)
    {
        stopper.stop();
    }
}

bool target_run::decide(verdict value)
{
    verdict_ = value;
    return false;
}

bool target_run::echoes_request(target_head const& head) const
{
    // Plain services need not echo the id.
    auto const echoed = head.header("X-Request-Id");
    auto const optional = !job_.model_ && echoed.empty();
    return optional || echoed == record_.identity().id_.str();
}

bool target_run::on_head(target_head const& head)
{
    if (resuming_ && head.status_ != status_ok)
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
                     [](header_field const& field)
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

target_run::verdict target_run::resume_until_ended()
{
    resuming_ = true;
    auto next_pause = use_.limits_.resume_pause_;
    for (int tries = 0; tries < use_.limits_.most_resumes_;)
    {
        if (tries > 0)
        {
            pause(next_pause);
            next_pause *= 2;
        }
        if (is_abandoned())
        {
            return verdict::abandoned;
        }
        auto const before = events_;
        auto const reason = judge(exchange(stream_call("GET")));
        if (reason != verdict::cut)
        {
            return reason;
        }
        if (events_ > before)
        {
            tries = 0;
            next_pause = use_.limits_.resume_pause_;
        }
        ++tries;
    }
    return verdict::cut;
}

target_call target_run::stream_call(char const* method) const
{
    auto const id = record_.identity().id_.str();
    target_call call;
    call.method_ = method;
    call.path_ = "/v1/streams/" + id;
    call.headers_ = {{"X-Request-Id", id},
                     {"Last-Event-ID", std::to_string(last_id_)}};
    return call;
}

bool target_run::is_abandoned() const
{
    {
        std::lock_guard const lock{stop_mutex_};
        if (stopping_)
        {
            return true;
        }
    }
    return job_.grace_ && record_.readers() == 0 &&
           record_.unread_for() >= *job_.grace_;
}

void target_run::pause(base::duration length)
{
    std::unique_lock lock{stop_mutex_};
    stop_asked_.wait_for(lock, length, [this] { return stopping_; });
}

void target_run::finish(verdict reason)
{
    static constexpr std::array endings{
        ending{verdict::cut, sched::dispatch_event::target_lost, "target_lost",
               "the connection to the target was lost", false},
        ending{verdict::forgotten, sched::dispatch_event::target_lost,
               "target_lost", "the target no longer knows the stream", false},
        ending{verdict::wrong_answer, sched::dispatch_event::target_error,
               "wrong_answer", "the target's answer does not belong here",
               false},
        ending{verdict::too_large, sched::dispatch_event::cancelled,
               "answer_too_large", "the answer is larger than the limit", true},
        ending{verdict::abandoned, sched::dispatch_event::cancelled,
               "cancelled", "nobody reads the answer", true},
    };
    record_.count_tokens(read_usage());
    if (gaps_.count() > 0)
    {
        use_.metrics_.add_gaps(record_.identity().workspace_,
                               record_.identity().tier_, gaps_);
    }
    if (reason == verdict::complete)
    {
        report(head_->status_ >= first_server_error
                   ? sched::dispatch_event::target_error
                   : sched::dispatch_event::finished);
        record_.end({request::outcome::complete, 0, {}, {}, {}});
        return;
    }
    for (auto const& each : endings)
    {
        if (each.reason_ != reason)
        {
            continue;
        }
        if (each.cancels_)
        {
            cancel_at_target();
        }
        report(each.event_);
        record_.end({request::outcome::unknown,
                     status_bad_gateway,
                     each.code_,
                     {base::error_code::unknown_effect, "run on target",
                      to_.target_.str(), each.detail_},
                     {}});
        return;
    }
    assert(false);
}

void target_run::cancel_at_target()
{
    struct ignore final : target_listener
    {
        void on_connected(exchange_stopper& /*stopper*/) override {}
        bool on_head(target_head const& /*head*/) override { return false; }
        bool on_bytes(std::string_view /*bytes*/) override { return false; }
    };
    if (!job_.model_)
    {
        return;
    }
    ignore listener;
    connection_limits const limits{use_.limits_.connect_,
                                   use_.limits_.connect_};
    use_.connection_.exchange(to_.address_, stream_call("DELETE"), limits,
                              listener);
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
    std::string text;
    auto const& answer = record_.answer();
    for (std::uint64_t at = 0; at < answer.last_event();)
    {
        auto slice = answer.read_after(at, {});
        at = slice.last_;
        text += slice.bytes_;
    }
    return parse_usage(text);
}

void target_run::report(sched::dispatch_event event) const
{
    auto const usage = record_.tokens();
    use_.dispatcher_.report({record_.identity().id_, to_.target_, event,
                             record_.state().since_dispatch(use_.clock_.now()),
                             usage.output_, usage.cached_});
}

} // namespace tanagerlead::http
