#pragma once

#include "src/sched/target_state.hpp"
#include "src/sched/types.hpp"

namespace tanagerlead::sched
{

/// A request that was granted or adopted and is not seen to end.
struct running_request
{
    work_item item_;
    target_state* target_ = nullptr;
    base::time_point dispatched_;
    /// Output-token equivalents charged for it.
    double cost_ = 1;
    /// Prompt tokens that the target should have had cached.
    base::token_count cached_prompt_tokens_ = 0;
    prefix_match expected_prefix_;
    /// From the dispatch to the first token; zero before it.
    base::duration time_to_first_token_{};
    /// Requests outstanding at the target just after the dispatch.
    int outstanding_at_dispatch_ = 1;
    /// Was in flight at a target's death before.
    bool is_suspect_ = false;
    bool is_prefilling_ = true;
};

} // namespace tanagerlead::sched
