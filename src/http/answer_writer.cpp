#include "src/http/answer_writer.hpp"

#include <nlohmann/json.hpp>

namespace tanagerlead::http
{

namespace
{

using nlohmann::json;

constexpr char const* json_type = "application/json";

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

void set_retry_headers(base::duration after, http_reply& reply)
{
    auto const ms = std::chrono::ceil<std::chrono::milliseconds>(after).count();
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(after).count();
    reply.set_header("Retry-After", std::to_string(seconds));
    reply.set_header("X-Retry-After-Ms", std::to_string(ms));
}

void set_request_header(request::request_identity const& identity,
                        http_reply& reply)
{
    reply.set_header("X-Tanagerlead-Request", identity.id_.str());
}

} // namespace

void write_error(int status, std::string const& code, base::error const& error,
                 http_reply& reply)
{
    reply.set_status(status);
    reply.set_header("X-Tanagerlead-Outcome",
                     to_string(request::outcome::not_run));
    reply.set_header("X-Tanagerlead-Cause", code);
    json const body{{"error", error_json(code, error)},
                    {"outcome", to_string(request::outcome::not_run)}};
    reply.set_content(dump(body), json_type);
}

void write_end(request::request_identity const& identity,
               request::answer_end const& end,
               std::vector<request::entry_address> const& other_entries,
               http_reply& reply)
{
    reply.set_status(end.status_);
    set_request_header(identity, reply);
    reply.set_header("X-Tanagerlead-Outcome", to_string(end.outcome_));
    reply.set_header("X-Tanagerlead-Cause", end.code_);
    if (end.retry_after_ > base::duration{})
    {
        set_retry_headers(end.retry_after_, reply);
    }
    if (end.outcome_ == request::outcome::not_run && !other_entries.empty())
    {
        reply.set_header("X-Tanagerlead-Entries", join(other_entries));
    }
    json const body{{"error", error_json(end.code_, end.error_)},
                    {"outcome", to_string(end.outcome_)}};
    reply.set_content(dump(body), json_type);
}

void write_content(request::request_record const& record, http_reply& reply)
{
    auto const head = *record.answer().head();
    reply.set_status(head.status_);
    set_request_header(record.identity(), reply);
    reply.set_header("X-Tanagerlead-Outcome",
                     to_string(request::outcome::complete));
    reply.set_header("X-Tanagerlead-Target", head.target_.str());
    for (auto const& field : head.headers_)
    {
        reply.add_header(field.name_, field.value_);
    }
    reply.set_content(record.answer().content(), head.content_type_);
}

void write_stream_head(request::request_record const& record, http_reply& reply)
{
    auto const head = *record.answer().head();
    reply.set_status(head.status_);
    set_request_header(record.identity(), reply);
    reply.set_header("X-Tanagerlead-Target", head.target_.str());
    reply.set_header("Cache-Control", "no-cache");
    reply.set_header("Content-Type", head.content_type_);
}

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

} // namespace tanagerlead::http
