#pragma once

#include "src/routing/latency_estimate.hpp"
#include "src/routing/route.hpp"

#include <optional>

namespace tanagerlead::routing
{

/// State of an attempt that determines its stall timeout.
struct attempt_state
{
    /// Targets that the request was sent to.
    int attempts_ = 0;
    /// Events of this attempt so far.
    int events_ = 0;
    base::token_count prompt_tokens_ = 0;
};

/// Time without data from its target after which a request is sent to another
/// one, so that slow or hung targets do not hold requests while others have
/// free slots. Unset when the request must not be sent again.
std::optional<base::duration> stall_timeout(attempt_state const& attempt,
                                            route const& r,
                                            pool_latency const& latencies);

} // namespace tanagerlead::routing
