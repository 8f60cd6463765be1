#pragma once

#include "src/cell/cell_owner.hpp"
#include "src/sched/quarantine.hpp"

#include <vector>

namespace tanagerlead::cell
{

/// What one daemon knows of requests that end targets, its own cells' and
/// other daemons' suspicions together, so that they outlive any one owner.
/// News of a lost target goes to all other daemons at once; all that is known
/// goes to one of them in turn at each interval.
class suspicion_exchange
{
public:
    static constexpr base::duration interval = std::chrono::seconds{2};
    /// Most suspicions told at a time, the newest first.
    static constexpr std::size_t most_told = 16;

    /// Live daemons other than this one.
    void set_peers(std::vector<base::daemon_id> peers);
    /// Takes note when one of the reports is of a lost target.
    void on_reports(std::vector<numbered_report> const& reports);
    /// From a cell owned here or from another daemon.
    void learn(std::vector<sched::suspicion> const& suspicions,
               base::time_point now);

    std::vector<sched::suspicion> known(base::time_point now) const;
    /// When `tell` should be called; `max()` while nothing is known.
    base::time_point next_due() const;
    void tell(base::time_point now, std::vector<outgoing_message>& out);

private:
    void tell_one(base::daemon_id const& peer,
                  std::vector<sched::suspicion> const& suspicions,
                  std::vector<outgoing_message>& out) const;

    sched::quarantine known_;
    std::vector<base::daemon_id> peers_;
    std::size_t next_peer_ = 0;
    bool has_news_ = false;
    base::time_point next_turn_ = base::time_point::min();
};

} // namespace tanagerlead::cell
