#pragma once

#include "src/sched/target_state.hpp"
#include "src/sched/types.hpp"

namespace tanagerlead::sched
{

/// A granted or adopted request whose end has not been reported.
struct running_request
{
    work_item item_;
    target_state* target_ = nullptr;
    base::time_point dispatched_;
    /// Output-token equivalents charged to the workspace.
    double cost_ = 1;
    /// Prompt tokens that the target was expected to have cached.
    base::token_count cached_prompt_tokens_ = 0;
    prefix_match expected_prefix_;
    /// Time from dispatch to first token; zero until the first token.
    base::duration time_to_first_token_{};
    /// Requests outstanding at the target just after the dispatch.
    int outstanding_at_dispatch_ = 1;
    /// A copy of this request was in flight when a target was lost.
    bool is_suspect_ = false;
    bool is_prefilling_ = true;
};

} // namespace tanagerlead::sched
