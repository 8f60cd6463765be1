#include "src/routing/stall_limit.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

using namespace std::chrono_literals;

namespace
{

/// Silence after which a request that may be repeated goes to another target:
/// mean deviations beyond the usual, and bounds. A stream that goes on in
/// time for its longest pause is still on time.
constexpr double stall_deviations_plain = 4;
constexpr double stall_deviations_stream = 6;
constexpr base::duration least_stall_plain = 60ms;
constexpr base::duration least_stall_first = 300ms;
constexpr base::duration most_stall = 1200ms;
constexpr double least_stall_gap = 0.6;

base::duration plain_limit(pool_latency const& usual)
{
    return std::clamp(usual.first_.limit(stall_deviations_plain, most_stall),
                      least_stall_plain, most_stall);
}

base::duration first_event_limit(stall_subject const& about,
                                 pool_latency const& usual)
{
    auto const first =
        std::clamp(usual.first_.limit(stall_deviations_stream, most_stall),
                   least_stall_first, most_stall);
    return first + prompt_time(about.prompt_tokens_);
}

base::duration next_event_limit(route const& r, pool_latency const& usual)
{
    auto const least =
        base::from_seconds(least_stall_gap * base::seconds(r.gap_objective_));
    return std::clamp(usual.gap_.limit(stall_deviations_stream, most_stall),
                      std::min(least, most_stall), most_stall);
}

} // namespace

std::optional<base::duration> stall_limit(stall_subject const& about,
                                          route const& r,
                                          pool_latency const& usual)
{
    if (!r.may_repeat() || about.attempts_ >= r.most_attempts_)
    {
        return std::nullopt;
    }
    if (r.kind_ != route_kind::stream)
    {
        return plain_limit(usual);
    }
    return about.events_ == 0 ? first_event_limit(about, usual)
                              : next_event_limit(r, usual);
}

} // namespace tanagerlead::routing
