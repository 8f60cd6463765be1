#pragma once

#include "src/sched/cell_scheduler.hpp"
#include "src/sched/policy.hpp"
#include "src/sched/running_request.hpp"

#include <map>
#include <span>

namespace tanagerlead::sched
{

/// Keeps the targets of one cell, their speed models and the number of requests
/// that each may have outstanding.
class cell_targets
{
public:
    explicit cell_targets(policy const& parts) : parts_{parts} {}

    void configure(cell_settings const& settings);

    /// Null if the target is not known.
    target_state* find(base::target_id const& id);
    /// Adds the target if it is not known, even if the configuration does not
    /// name it.
    target_state& find_or_add(base::target_id const& id);

    /// Whether some target in service serves the pool.
    bool serves(base::pool_id const& pool) const;
    /// Updates the service rate and how many requests each target may have
    /// outstanding at `now`.
    void refresh(base::time_point now);
    /// Candidate targets of the pool as of the last `refresh`; none while all
    /// targets together are at their limit. Valid until the next call.
    candidates find_candidates(base::pool_id const& pool);
    /// The next time at which `refresh` gives another result if no event comes
    /// before.
    base::time_point next_change(base::time_point now) const;

    void on_granted(target_state& target, base::time_point now);
    void on_ended(target_state& target, base::time_point now);
    /// Updates the limit, the models and the straggler state of the target with
    /// an answer that ended well.
    void learn(running_request const& run, dispatch_report const& event,
               base::time_point now);

    /// Cost per second that the cell serves when it is full; zero when not
    /// known yet.
    double service_rate() const { return service_rate_; }
    /// Seconds that the fastest target takes for the work; zero when not known
    /// yet.
    double fastest_service_time(workload const& work) const;

private:
    int effective_limit(target_state const& target) const;
    void update_straggler_state(target_state& target);
    void remove_unused();

    policy const& parts_;
    double share_ = 1.0;
    std::vector<std::unique_ptr<target_state>> targets_;
    std::map<int, target_model> generation_models_;
    std::vector<target_state*> usable_;
    std::vector<target_state*> full_;
    int outstanding_ = 0;
    /// Limit on the outstanding requests of all targets together.
    int max_outstanding_ = 0;
    double service_rate_ = 0;
};

} // namespace tanagerlead::sched
