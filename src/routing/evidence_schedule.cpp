#include "src/routing/evidence_schedule.hpp"

#include "src/routing/report_turn.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

void evidence_schedule::add_to(peer_report& report,
                               part_quarantine const& parts,
                               base::duration repeat_time, base::time_point now)
{
    auto const tells_quarantine =
        now - told_quarantine_at_ >= quarantine_interval;
    if (tells_quarantine)
    {
        told_quarantine_at_ = now;
    }
    auto const news_time =
        std::max(part_quarantine::news_time, 2 * repeat_time);
    report.part_crashes_ = take_turn(
        parts.reported_crashes(now, news_time, tells_quarantine),
        turn_ * peer_report::max_part_crashes, peer_report::max_part_crashes);
    report.part_proofs_ = take_turn(parts.reported_proofs(now),
                                    turn_ * peer_report::max_part_proofs,
                                    peer_report::max_part_proofs);
    ++turn_;
}

} // namespace tanagerlead::routing
