#pragma once

#include "src/base/units.hpp"

namespace tanagerlead::sched
{

/// Cost of a prompt token relative to an output token. It is below 1 because
/// targets process prompt tokens in parallel.
constexpr double prompt_token_cost = 0.1;

/// Cost of a request to a target, in output-token equivalents; at least 1.
constexpr double cost_of(base::token_count uncached_prompt,
                         base::token_count output)
{
    return 1.0 + prompt_token_cost * static_cast<double>(uncached_prompt) +
           static_cast<double>(output);
}

} // namespace tanagerlead::sched
