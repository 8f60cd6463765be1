#include "src/http/operator_answer.hpp"

#include <nlohmann/json.hpp>

namespace tanagerlead::http
{

using nlohmann::json;

void answer_operator(http_reply& out, json const& body, int status)
{
    out.set_status(status);
    out.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace),
                    "application/json");
}

json write_errors(std::vector<config::field_error> const& errors)
{
    auto out = json::array();
    for (auto const& error : errors)
    {
        out.push_back(
            {{"pointer", error.pointer_}, {"message", error.message_}});
    }
    return out;
}

void answer_invalid(http_reply& out,
                    std::vector<config::field_error> const& errors)
{
    answer_operator(out,
                    {{"status", "invalid"}, {"errors", write_errors(errors)}},
                    operator_status_unprocessable);
}

} // namespace tanagerlead::http
