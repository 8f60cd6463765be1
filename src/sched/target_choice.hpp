#pragma once

#include "src/sched/target_state.hpp"
#include "src/sched/waiting_request.hpp"

#include <span>

namespace tanagerlead::sched
{

/// Picks the target for the next request.
class target_choice
{
public:
    virtual ~target_choice() = default;

    /// One of `usable`, which is not empty.
    virtual target_state& choose(waiting_request const& request,
                                 std::span<target_state* const> usable,
                                 base::time_point now) = 0;
};

/// Each in turn.
class round_robin_choice final : public target_choice
{
public:
    target_state& choose(waiting_request const& request,
                         std::span<target_state* const> usable,
                         base::time_point now) override;

private:
    std::size_t turn_ = 0;
};

/// The one with fewest requests outstanding.
class least_outstanding_choice final : public target_choice
{
public:
    target_state& choose(waiting_request const& request,
                         std::span<target_state* const> usable,
                         base::time_point now) override;
};

} // namespace tanagerlead::sched
