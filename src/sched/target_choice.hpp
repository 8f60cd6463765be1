#pragma once

#include "src/sched/target_state.hpp"
#include "src/sched/waiting_request.hpp"

#include <span>
#include <vector>

namespace tanagerlead::sched
{

/// The targets that a request can be sent to or wait for.
struct candidates
{
    /// Targets with room now; not empty when a target is chosen.
    std::span<target_state* const> usable_;
    /// Dependable targets without room, which may be worth a short wait.
    std::span<target_state* const> full_;
};

/// One target with its predicted wait and score.
struct scored_target
{
    target_state* target_ = nullptr;
    base::token_count cached_ = 0;
    /// Predicted seconds until it has room.
    double wait_ = 0;
    /// Predicted seconds by which targets are compared; lower is better.
    double score_ = 0;
};

struct placement
{
    target_state* target_ = nullptr;
    /// Zero to run now, otherwise the longest time to wait for the target.
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

/// Picks the targets in turn.
class round_robin_choice final : public target_choice
{
public:
    placement choose(waiting_request const& request, candidates const& eligible,
                     base::time_point now) override;

private:
    std::size_t next_index_ = 0;
};

/// Picks the target with the fewest outstanding requests.
class least_outstanding_choice final : public target_choice
{
public:
    placement choose(waiting_request const& request, candidates const& eligible,
                     base::time_point now) override;
};

/// Picks the target where the answer should end first, according to speed, load
/// and cached prefix. Waits for a full target when its cached prefix saves more
/// than the wait costs.
class earliest_finish_choice final : public target_choice
{
public:
    placement choose(waiting_request const& request, candidates const& eligible,
                     base::time_point now) override;

private:
    void collect_targets(waiting_request const& request,
                         candidates const& eligible);

    /// Reused between calls to avoid allocations.
    std::vector<scored_target> scored_targets_;
};

} // namespace tanagerlead::sched
