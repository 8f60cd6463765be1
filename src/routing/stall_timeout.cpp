#include "src/routing/stall_timeout.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

using namespace std::chrono_literals;

namespace
{

/// Parameters of the stall timeout: the number of mean deviations above the
/// mean, and the bounds. A stream that continues within its longest pause is
/// still on time.
constexpr double stall_deviations_plain = 4;
constexpr double stall_deviations_stream = 6;
constexpr base::duration min_stall_plain = 60ms;
constexpr base::duration min_stall_first = 300ms;
constexpr base::duration max_stall = 1200ms;
constexpr double min_stall_gap_fraction = 0.6;
/// Times that the prompt could have been read elsewhere before a target that
/// still reads it is left. The other target reads it from the start, so an
/// early move of a long prompt makes its request late.
constexpr int min_reading_times = 3;

base::duration plain_timeout(pool_latency const& latencies)
{
    return std::clamp(latencies.first_.limit(stall_deviations_plain, max_stall),
                      min_stall_plain, max_stall);
}

base::duration first_event_timeout(attempt_state const& attempt,
                                   pool_latency const& latencies)
{
    auto const first =
        std::clamp(latencies.first_.limit(stall_deviations_stream, max_stall),
                   min_stall_first, max_stall);
    return first + min_reading_times * max_prefill_time(attempt.prompt_tokens_);
}

base::duration next_event_timeout(route const& r, pool_latency const& latencies)
{
    auto const least = base::from_seconds(min_stall_gap_fraction *
                                          base::seconds(r.gap_objective_));
    return std::clamp(latencies.gap_.limit(stall_deviations_stream, max_stall),
                      std::min(least, max_stall), max_stall);
}

} // namespace

std::optional<base::duration> stall_timeout(attempt_state const& attempt,
                                            route const& r,
                                            pool_latency const& latencies)
{
    if (!r.is_retryable() || attempt.attempts_ >= r.max_attempts_)
    {
        return std::nullopt;
    }
    if (r.kind_ != route_kind::stream)
    {
        return plain_timeout(latencies);
    }
    return attempt.events_ == 0 ? first_event_timeout(attempt, latencies)
                                : next_event_timeout(r, latencies);
}

} // namespace tanagerlead::routing
