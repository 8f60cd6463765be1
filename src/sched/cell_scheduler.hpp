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

/// What one cell is made of.
struct cell_settings
{
    std::vector<config::target_config> targets_;
    std::vector<config::tier_config> tiers_;
    std::vector<config::workspace_config> workspaces_;
    /// Part of each target's limit that this scheduler may use: 1 for a cell's
    /// owner, less for an entry's standing share. In (0, 1].
    double share_ = 1.0;
    std::uint64_t seed_ = 0;
};

/// Decides which waiting request runs next on which target of one cell.
/// Not thread-safe; every event carries the time.
///
/// Policy "tanagerlead": a tier is granted only while no higher one waits in
/// the queue, and at least `shed_gate::window` passes between a refusal of a
/// tier as overloaded and a grant of any lower tier, whichever comes first.
/// Requests that wait for one certain target (a cached prefix, or a suspect
/// that has to run apart) do not hold up others.
class cell_scheduler
{
public:
    virtual ~cell_scheduler() = default;

    /// May be called again with a new configuration; keeps what is waiting
    /// and in flight.
    virtual void configure(cell_settings const& settings) = 0;

    /// Idempotent by request id.
    virtual void enqueue(work_item const& item, base::time_point now) = 0;
    /// The caller is gone or the entry no longer holds it.
    virtual void withdraw(base::request_id request, base::time_point now) = 0;
    /// Something dispatched before this scheduler took over.
    virtual void adopt(work_item const& item, base::target_id const& target,
                       base::time_point now) = 0;
    virtual void report(dispatch_report const& event, base::time_point now) = 0;
    virtual void observe(target_load const& load, base::time_point now) = 0;
    /// From the host list or a failed probe: no new work.
    virtual void set_leaving(base::target_id const& target, bool leaving,
                             base::time_point now) = 0;
    /// Tiers after `lowest` wait for now.
    virtual void permit_down_to(base::tier lowest, base::time_point now) = 0;

    /// Tiers from `highest` on may be refused as overloaded; higher ones wait
    /// until other owners have stopped serving those below. The lowest tier
    /// configured may always be refused.
    virtual void permit_shed_from(base::tier highest, base::time_point now);
    /// The highest tier that this scheduler has to shed or soon will.
    virtual std::optional<base::tier> pressure() const;

    /// Suspicions against requests that end targets, for other schedulers.
    virtual std::vector<suspicion>
    export_suspicions(base::time_point now) const;
    virtual void import_suspicions(std::vector<suspicion> const& suspicions,
                                   base::time_point now);

    /// Appends all decisions due at `now` to `out`.
    virtual void advance(base::time_point now, std::vector<action>& out) = 0;
    /// When `advance` has something to do if no event comes first.
    virtual base::time_point next_wakeup() const = 0;

    virtual std::size_t waiting() const = 0;
    virtual std::size_t in_flight() const = 0;
};

/// Names: "tanagerlead", "fifo_round_robin", "least_outstanding".
/// Null for any other.
std::unique_ptr<cell_scheduler> make_scheduler(std::string_view policy);

} // namespace tanagerlead::sched
