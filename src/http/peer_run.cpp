#include "src/http/peer_run.hpp"

#include "src/http/caller_options.hpp"
#include "src/http/header_names.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace tanagerlead::http
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
/// After which the holder of a key may be asked again.
constexpr base::duration ask_again = std::chrono::seconds{1};

std::string read_outcome(std::string const& data)
{
    constexpr bool allow_exceptions = false;
    auto const parsed = nlohmann::json::parse(data, nullptr, allow_exceptions);
    return parsed.is_object() ? parsed.value("outcome", std::string{})
                              : std::string{};
}

base::duration read_milliseconds(std::string const& text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return std::chrono::milliseconds{std::clamp<std::int64_t>(
        value, 0, std::chrono::milliseconds{std::chrono::hours{1}}.count())};
}

} // namespace

peer_run::peer_run(target_connection& connection, target_limits const& limits,
                   base::clock const& clock, runnable const& work,
                   base::address peer)
    : connection_{connection}, limits_{limits}, clock_{clock}, work_{work},
      peer_{std::move(peer)}, record_{*work.job_.record_},
      parser_{limits.most_event_bytes_}
{
}

void peer_run::start(ended done)
{
    done_ = std::move(done);
    // The peer may let the request wait in its queue.
    connection_limits const limits{limits_.connect_, limits_.answer_silence_};
    exchange_ = connection_.begin(peer_, make_call(), limits, *this);
}

void peer_run::stop()
{
    if (exchange_)
    {
        exchange_->stop();
    }
}

void peer_run::on_end(exchange_end end)
{
    exchange_.reset();
    if (end == exchange_end::not_sent)
    {
        end_unknown("the daemon that holds the key cannot be reached");
    }
    else if (end != exchange_end::complete)
    {
        end_unknown("the daemon that holds the key did not finish its answer");
    }
    else
    {
        end_by_peer();
    }
    done_(true);
}

target_call peer_run::make_call() const
{
    auto call = work_.job_.call_;
    call.path_ = work_.caller_path_;
    auto& headers = call.headers_;
    headers.remove("X-Request-Id");
    headers.set("Idempotency-Key", record_.identity().key_);
    headers.add("Authorization", "Bearer " + work_.bearer_);
    headers.add("X-Non-Idempotent", "true");
    headers.add(forwarded_header, "true");
    if (work_.item_.deadline_ != base::time_point::max())
    {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
            work_.item_.deadline_ - clock_.now());
        headers.add("X-Deadline-Ms", std::to_string(left.count()));
    }
    return call;
}

bool peer_run::on_head(target_head const& head)
{
    head_ = head;
    outcome_ = head.headers_.value("X-Tanagerlead-Outcome");
    is_stream_ = head.status_ == status_ok &&
                 head.content_type_.starts_with("text/event-stream") &&
                 outcome_.empty();
    if (is_stream_)
    {
        begin_answer(true);
    }
    return true;
}

bool peer_run::on_bytes(std::string_view bytes)
{
    if (!is_stream_)
    {
        body_ += bytes;
        return body_.size() <= record_.answer().most_bytes();
    }
    std::vector<request::sse_event> events;
    auto const fits = parser_.feed(bytes, events);
    return std::all_of(events.begin(), events.end(),
                       [this](request::sse_event& event)
                       { return take_event(std::move(event)); }) &&
           fits;
}

bool peer_run::take_event(request::sse_event event)
{
    if (event.name_ == "outcome")
    {
        outcome_ = read_outcome(event.data_);
        return true;
    }
    if (!event.id_)
    {
        // The end mark; it is written anew for the caller.
        return true;
    }
    if (*event.id_ != events_ + 1)
    {
        return false;
    }
    ++events_;
    record_.first_output();
    return record_.answer().append(serialize(event));
}

void peer_run::begin_answer(bool stream)
{
    record_.dispatch();
    request::answer_head answer{
        head_->status_,
        head_->content_type_,
        stream,
        base::target_id{head_->headers_.value("X-Tanagerlead-Target")},
        {}};
    std::copy_if(head_->headers_.begin(), head_->headers_.end(),
                 std::back_inserter(answer.headers_),
                 [](net::header_field const& field)
                 { return passes_to_caller(field.name_); });
    record_.answer().begin(std::move(answer));
}

void peer_run::end_by_peer()
{
    if (outcome_ == to_string(request::outcome::complete))
    {
        if (!is_stream_)
        {
            begin_answer(false);
            // Its size was checked while it came in.
            static_cast<void>(record_.answer().append(std::move(body_)));
        }
        record_.end({request::outcome::complete, 0, {}, {}, {}});
        return;
    }
    if (!is_stream_ && outcome_ == to_string(request::outcome::not_run))
    {
        record_.end(
            {request::outcome::not_run,
             head_->status_,
             head_->headers_.value("X-Tanagerlead-Cause"),
             {base::error_code::unavailable, "ask the holder of the key",
              peer_.str(), "the daemon that holds the key did not run it"},
             read_milliseconds(head_->headers_.value("X-Retry-After-Ms"))});
        return;
    }
    end_unknown("the daemon that holds the key does not know the outcome");
}

void peer_run::end_unknown(char const* detail)
{
    record_.end({request::outcome::unknown,
                 status_conflict,
                 "key_used",
                 {base::error_code::unknown_effect, "ask the holder of the key",
                  peer_.str(), detail},
                 ask_again});
}

} // namespace tanagerlead::http
