#pragma once

#include "src/sched/target_state.hpp"
#include "src/sched/waiting_request.hpp"

#include <span>
#include <vector>

namespace tanagerlead::sched
{

/// What a choice is made from.
struct candidates
{
    /// With room now; not empty.
    std::span<target_state* const> usable_;
    /// Without room but dependable, so worth a short wait.
    std::span<target_state* const> full_;
};

/// One target and what is expected of it.
struct scored_target
{
    target_state* target_ = nullptr;
    base::token_count cached_ = 0;
    /// Seconds until it has room.
    double wait_ = 0;
    /// Seconds that decide; less is better.
    double score_ = 0;
};

struct placement
{
    target_state* target_ = nullptr;
    /// Zero to run now, else the longest time to wait for the target.
    base::duration wait_{};
};

/// Picks the target for the next request.
class target_choice
{
public:
    virtual ~target_choice() = default;

    virtual placement choose(waiting_request const& request,
                             candidates const& eligible,
                             base::time_point now) = 0;
};

/// Each in turn.
class round_robin_choice final : public target_choice
{
public:
    placement choose(waiting_request const& request, candidates const& eligible,
                     base::time_point now) override;

private:
    std::size_t next_index_ = 0;
};

/// The one with fewest requests outstanding.
class least_outstanding_choice final : public target_choice
{
public:
    placement choose(waiting_request const& request, candidates const& eligible,
                     base::time_point now) override;
};

/// The one where the answer should end first, going by speed, load and cached
/// prefix. Waits for a full target when its cached prefix saves more than the
/// wait costs.
class earliest_finish_choice final : public target_choice
{
public:
    placement choose(waiting_request const& request, candidates const& eligible,
                     base::time_point now) override;

private:
    void collect_targets(waiting_request const& request,
                         candidates const& eligible);

    /// Kept between calls for its memory.
    std::vector<scored_target> scored_targets_;
};

} // namespace tanagerlead::sched
