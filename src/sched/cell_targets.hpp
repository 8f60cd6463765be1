#pragma once

#include "src/sched/cell_scheduler.hpp"
#include "src/sched/policy.hpp"

#include <span>

namespace tanagerlead::sched
{

/// The targets of one cell and how much each may have outstanding.
class cell_targets
{
public:
    explicit cell_targets(policy const& parts) : parts_{parts} {}

    void configure(cell_settings const& settings);

    /// Null when it is not known.
    target_state* find(base::target_id const& id);
    /// Also makes room for one that the configuration does not name.
    target_state& find_or_add(base::target_id const& id);
    std::vector<std::unique_ptr<target_state>> const& all() const
    {
        return targets_;
    }

    /// Whether some target in service serves the pool.
    bool serves(base::pool_id const& pool) const;
    /// Works out what each target may have outstanding at `now`.
    void refresh(base::time_point now);
    /// Targets of the pool with room, after `refresh`; valid until the next
    /// call.
    std::span<target_state* const> usable(base::pool_id const& pool);
    /// When `refresh` gives another result if no event comes first.
    base::time_point next_change(base::time_point now) const;

    void on_granted(target_state& target);
    void on_ended(target_state& target);

private:
    void forget_unused();

    policy const& parts_;
    double share_ = 1.0;
    std::vector<std::unique_ptr<target_state>> targets_;
    std::vector<target_state*> usable_;
    int outstanding_ = 0;
    /// Most that all targets together may have outstanding.
    int allowed_ = 0;
};

} // namespace tanagerlead::sched
