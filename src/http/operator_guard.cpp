#include "src/http/operator_guard.hpp"

#include "src/config/digest.hpp"

#include <nlohmann/json.hpp>

namespace tanagerlead::http
{

namespace
{

constexpr char const* bearer = "Bearer ";

enum status
{
    status_bad_request = 400,
    status_unauthorized = 401,
    status_forbidden = 403,
    status_not_found = 404,
    status_conflict = 409,
    status_too_many_requests = 429,
    status_internal = 500,
    status_unavailable = 503,
    status_unknown_effect = 504,
};

int status_of(base::error_code code)
{
    switch (code)
    {
    case base::error_code::invalid_argument:
        return status_bad_request;
    case base::error_code::not_found:
        return status_not_found;
    case base::error_code::conflict:
        return status_conflict;
    case base::error_code::permission_denied:
        return status_forbidden;
    case base::error_code::rate_limited:
        return status_too_many_requests;
    case base::error_code::unknown_effect:
        return status_unknown_effect;
    case base::error_code::not_sent:
    case base::error_code::unavailable:
        return status_unavailable;
    case base::error_code::corrupt:
    case base::error_code::internal:
        return status_internal;
    }
    return status_internal;
}

} // namespace

void answer_operator_error(http_reply& out, base::error const& error)
{
    out.set_status(status_of(error.code_));
    nlohmann::json const body{{"error",
                               {{"code", base::to_string(error.code_)},
                                {"message", error.detail_},
                                {"step", error.step_},
                                {"peer", error.peer_}}}};
    out.set_content(
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        "application/json");
}

bool operator_guard::allows(http_call const& request) const
{
    auto const given = request.headers_.value("Authorization");
    if (key_hash_.empty() || !given.starts_with(bearer))
    {
        return false;
    }
    auto const key = std::string_view{given}.substr(std::strlen(bearer));
    return config::equal_in_constant_time(config::sha256_hex(key), key_hash_);
}

operator_guard::handler operator_guard::protect(handler inner) const
{
    return [guard = *this, inner = std::move(inner)](http_call const& in,
                                                     http_reply& out)
    {
        if (guard.allows(in))
        {
            inner(in, out);
            return;
        }
        auto const* const why = guard.key_hash_.empty()
                                    ? "the daemon has no operator key"
                                    : "the operator key is missing or wrong";
        answer_operator_error(out, {base::error_code::permission_denied,
                                    "check operator key",
                                    {},
                                    why});
        if (in.headers_.find("Authorization") == nullptr)
        {
            out.set_status(status_unauthorized);
        }
    };
}

} // namespace tanagerlead::http
