#include "src/http/refusal.hpp"

#include <array>

namespace tanagerlead::http
{

namespace
{

struct refusal_row
{
    sched::refusal_cause cause_;
    int status_;
    char const* detail_;
};

constexpr int unprocessable = 422;
constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

constexpr std::array rows{
    refusal_row{sched::refusal_cause::overloaded, too_many_requests,
                "too many requests are waiting"},
    refusal_row{sched::refusal_cause::deadline, gateway_timeout,
                "it would not end before its deadline"},
    refusal_row{sched::refusal_cause::workspace_limit, too_many_requests,
                "too many requests of the workspace are waiting"},
    refusal_row{sched::refusal_cause::quarantined, unprocessable,
                "copies of it ended the targets that ran them"},
    refusal_row{sched::refusal_cause::no_target, service_unavailable,
                "no target can take it"},
    refusal_row{sched::refusal_cause::draining, service_unavailable,
                "this daemon is stopping"},
    refusal_row{sched::refusal_cause::isolated, service_unavailable,
                "this daemon is cut off from the others"},
    refusal_row{sched::refusal_cause::store_unavailable, service_unavailable,
                "the claim store does not answer"},
};

} // namespace

request::answer_end refused(sched::refusal_cause cause,
                            base::duration retry_after)
{
    auto const& row = rows.at(static_cast<std::size_t>(cause));
    return {request::outcome::not_run,
            row.status_,
            to_string(cause),
            {base::error_code::unavailable, "schedule", {}, row.detail_},
            retry_after};
}

} // namespace tanagerlead::http
