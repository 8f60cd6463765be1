#pragma once

#include "src/config/configuration.hpp"
#include "src/sched/quarantine.hpp"
#include "src/sched/types.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace tanagerlead::sched
{

/// The configuration of one cell.
struct cell_settings
{
    std::vector<config::target_config> targets_;
    std::vector<config::tier_config> tiers_;
    std::vector<config::workspace_config> workspaces_;
    /// Fraction of each target's concurrency limit that this scheduler may use,
    /// in (0, 1]: 1 for the owner of a cell, less for the permanent share of an
    /// entry daemon.
    double share_ = 1.0;
    std::uint64_t seed_ = 0;
};

/// Decides which waiting request runs next on which target of one cell.
/// Not thread-safe; every event carries the time.
///
/// Policy "tanagerlead": a tier is granted only while no higher one waits in
/// the queue, and at least `shed_gate::window` passes between a refusal of a
/// tier as overloaded and a grant of any lower tier, whichever comes first.
/// Requests that wait for a certain target (for a cached prefix, or as suspects
/// that must run alone) do not block others.
class cell_scheduler
{
public:
    virtual ~cell_scheduler() = default;

    /// May be called again with a new configuration. Requests that wait or are
    /// in flight are kept.
    virtual void configure(cell_settings const& settings) = 0;

    /// Does nothing if the request's id is already known.
    virtual void enqueue(work_item const& item, base::time_point now) = 0;
    /// Removes a request whose caller disconnected or whose entry daemon no
    /// longer holds it.
    virtual void withdraw(base::request_id request, base::time_point now) = 0;
    /// Adds a request that was dispatched before this scheduler took over.
    virtual void adopt(work_item const& item, base::target_id const& target,
                       base::time_point now) = 0;
    virtual void report(dispatch_report const& event, base::time_point now) = 0;
    virtual void observe(target_load const& load, base::time_point now) = 0;
    /// A leaving target gets no new work. The host list or a failed probe
    /// reports it.
    virtual void set_leaving(base::target_id const& target, bool leaving,
                             base::time_point now) = 0;
    /// Permits grants down to tier `lowest`; lower tiers wait.
    virtual void permit_down_to(base::tier lowest, base::time_point now) = 0;

    /// Permits refusals as overloaded in tier `highest` and lower ones. Higher
    /// tiers may be refused only once other owners have stopped serving the
    /// tiers below them. The lowest configured tier may always be refused.
    virtual void permit_shed_from(base::tier highest, base::time_point now);
    /// The highest tier that this scheduler must shed now or soon; none if
    /// there is no overload.
    virtual std::optional<base::tier> pressure() const;

    /// Returns suspicions that a request causes the loss of targets, for other
    /// schedulers.
    virtual std::vector<suspicion>
    export_suspicions(base::time_point now) const;
    virtual void import_suspicions(std::vector<suspicion> const& suspicions,
                                   base::time_point now);

    /// Appends all decisions due at `now` to `out`.
    virtual void advance(base::time_point now, std::vector<action>& out) = 0;
    /// The next time at which `advance` must be called if no event arrives
    /// earlier.
    virtual base::time_point next_wakeup() const = 0;

    virtual std::size_t waiting() const = 0;
    virtual std::size_t in_flight() const = 0;
};

/// Creates a scheduler with the policy "tanagerlead", "fifo_round_robin" or
/// "least_outstanding". Returns null for any other name.
std::unique_ptr<cell_scheduler> make_scheduler(std::string_view policy);

} // namespace tanagerlead::sched
