#pragma once

#include "src/base/units.hpp"

namespace tanagerlead::sched
{

/// Prompt tokens are processed in parallel and cost this part of an output
/// token.
constexpr double prompt_token_cost = 0.1;

/// What a request takes of a target, in output-token equivalents; at least 1.
constexpr double cost_of(base::token_count uncached_prompt,
                         base::token_count output)
{
    return 1.0 + prompt_token_cost * static_cast<double>(uncached_prompt) +
           static_cast<double>(output);
}

} // namespace tanagerlead::sched
