#pragma once

#include "src/sched/target_choice.hpp"
#include "src/sched/waiting_queue.hpp"

#include <string_view>

namespace tanagerlead::sched
{

/// Factories of the components of one scheduling policy.
struct policy
{
    std::string_view name_;
    std::unique_ptr<waiting_queue> (*make_queue_)();
    std::unique_ptr<target_choice> (*make_choice_)();
    std::unique_ptr<concurrency_limit> (*make_limit_)();
    /// Whether the policy uses admission control, load shedding, quarantine and
    /// straggler detection.
    bool has_overload_protection_ = false;
};

/// Returns null for an unknown name.
policy const* find_policy(std::string_view name);

} // namespace tanagerlead::sched
