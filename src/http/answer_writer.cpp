#include "src/http/answer_writer.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace tanagerlead::http
{

namespace
{

using nlohmann::json;

constexpr char const* json_type = "application/json";
/// Between looks at whether the caller is still there.
constexpr base::duration hang_up_poll = std::chrono::milliseconds{250};

std::string dump(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json error_json(std::string const& code, base::error const& error)
{
    return {{"code", code},
            {"message", error.detail_},
            {"step", error.step_},
            {"peer", error.peer_}};
}

std::string join(std::vector<request::entry_address> const& entries)
{
    std::string text;
    for (auto const& entry : entries)
    {
        text += text.empty() ? "" : ",";
        text += entry.address_.str();
    }
    return text;
}

void set_retry_headers(base::duration after, httplib::Response& response)
{
    auto const ms = std::chrono::ceil<std::chrono::milliseconds>(after).count();
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(after).count();
    response.set_header("Retry-After", std::to_string(seconds));
    response.set_header("X-Retry-After-Ms", std::to_string(ms));
}

void set_request_header(request::request_identity const& identity,
                        httplib::Response& response)
{
    response.set_header("X-Tanagerlead-Request", identity.id_.str());
}

std::string whole_content(request::answer_buffer const& answer)
{
    std::string content;
    for (std::uint64_t at = 0; at < answer.last_event();)
    {
        auto const slice = answer.read_after(at, {});
        content += slice.bytes_;
        at = slice.last_;
    }
    return content;
}

/// The last events of every stream, without which it was cut.
std::string closing_events(request::request_identity const& identity,
                           request::answer_end const& end)
{
    json data{{"outcome", to_string(end.outcome_)},
              {"request", identity.id_.str()}};
    std::string text;
    if (end.outcome_ == request::outcome::complete)
    {
        text = "data: [DONE]\n\n";
    }
    else
    {
        data["error"] = error_json(end.code_, end.error_);
    }
    return text + "event: outcome\ndata: " + dump(data) + "\n\n";
}

/// Writes what is new; false when the caller is gone.
bool write_next(request::request_record const& record, std::uint64_t& last,
                httplib::DataSink& sink)
{
    auto slice = record.answer().read_after(last, hang_up_poll);
    last = slice.last_;
    if (slice.end_)
    {
        slice.bytes_ += closing_events(record.identity(), *slice.end_);
    }
    if (slice.bytes_.empty())
    {
        return sink.is_writable();
    }
    if (!sink.write(slice.bytes_.data(), slice.bytes_.size()))
    {
        return false;
    }
    if (slice.end_)
    {
        sink.done();
    }
    return true;
}

} // namespace

reading::reading(request::record_ptr record, listener left)
    : record_{std::move(record)}, left_{std::move(left)}
{
    record_->attach();
}

reading::~reading()
{
    record_->detach();
    left_(record_);
}

void write_error(int status, std::string const& code, base::error const& error,
                 httplib::Response& response)
{
    response.status = status;
    response.set_header("X-Tanagerlead-Outcome",
                        to_string(request::outcome::not_run));
    response.set_header("X-Tanagerlead-Cause", code);
    json const body{{"error", error_json(code, error)},
                    {"outcome", to_string(request::outcome::not_run)}};
    response.set_content(dump(body), json_type);
}

void write_end(request::request_identity const& identity,
               request::answer_end const& end,
               std::vector<request::entry_address> const& other_entries,
               httplib::Response& response)
{
    response.status = end.status_;
    set_request_header(identity, response);
    response.set_header("X-Tanagerlead-Outcome", to_string(end.outcome_));
    response.set_header("X-Tanagerlead-Cause", end.code_);
    if (end.retry_after_ > base::duration{})
    {
        set_retry_headers(end.retry_after_, response);
    }
    if (end.outcome_ == request::outcome::not_run && !other_entries.empty())
    {
        response.set_header("X-Tanagerlead-Entries", join(other_entries));
    }
    json const body{{"error", error_json(end.code_, end.error_)},
                    {"outcome", to_string(end.outcome_)}};
    response.set_content(dump(body), json_type);
}

void write_content(request::request_record const& record,
                   httplib::Response& response)
{
    auto const head = *record.answer().head();
    response.status = head.status_;
    set_request_header(record.identity(), response);
    response.set_header("X-Tanagerlead-Outcome",
                        to_string(request::outcome::complete));
    response.set_header("X-Tanagerlead-Target", head.target_.str());
    for (auto const& field : head.headers_)
    {
        response.headers.emplace(field.name_, field.value_);
    }
    response.set_content(whole_content(record.answer()), head.content_type_);
}

void write_stream(std::shared_ptr<reading> const& reader,
                  std::uint64_t last_event, httplib::Response& response)
{
    auto const head = *reader->record().answer().head();
    response.status = head.status_;
    set_request_header(reader->record().identity(), response);
    response.set_header("X-Tanagerlead-Target", head.target_.str());
    response.set_header("Cache-Control", "no-cache");
    response.set_chunked_content_provider(
        head.content_type_,
        [reader, last = last_event](std::size_t /*offset*/,
                                    httplib::DataSink& sink) mutable
        { return write_next(reader->record(), last, sink); });
}

} // namespace tanagerlead::http
