#pragma once

#include "src/routing/latency_estimate.hpp"
#include "src/routing/route.hpp"

#include <optional>

namespace tanagerlead::routing
{

/// A request at its target, as far as its silence is judged by it.
struct attempt_state
{
    /// Targets that it was sent to.
    int attempts_ = 0;
    /// Events of this attempt so far.
    int events_ = 0;
    base::token_count prompt_tokens_ = 0;
};

/// Silence of its target after which a request is to go to another one; unset
/// when it must not. Load it answers: targets that turn slow or hang while
/// others have places.
std::optional<base::duration> stall_timeout(attempt_state const& attempt,
                                            route const& r,
                                            pool_latency const& latencies);

} // namespace tanagerlead::routing
