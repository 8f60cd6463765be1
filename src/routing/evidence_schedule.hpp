#pragma once

#include "src/routing/part_quarantine.hpp"
#include "src/routing/peer_report.hpp"

namespace tanagerlead::routing
{

/// Adds the evidence for and against parts of prompts to the reports to one
/// group of daemons. Evidence that does not fit is in the next reports.
class evidence_schedule
{
public:
    /// Daemons that start later learn within this time what is in quarantine.
    static constexpr base::duration quarantine_interval =
        std::chrono::seconds{2};

    /// `repeat_time` is how long the group must be told to miss nothing.
    void add_to(peer_report& report, part_quarantine const& parts,
                base::duration repeat_time, base::time_point now);

private:
    std::size_t turn_ = 0;
    base::time_point told_quarantine_at_{};
};

} // namespace tanagerlead::routing
