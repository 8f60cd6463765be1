#pragma once

#include "src/routing/part_quarantine.hpp"
#include "src/routing/peer_report.hpp"
#include "src/sched/quarantine.hpp"

#include <deque>
#include <vector>

namespace tanagerlead::routing
{

/// Detects requests that crash the targets that run them. A closed connection
/// may only mean a lost answer, so it counts as a crash only if the target
/// cannot be reached right after. Daemons share the crashes they detect, and a
/// crash that several daemons saw counts once.
class crash_detector
{
public:
    explicit crash_detector(peer_ip self = {}) : parts_{self} {}

    /// A request that was running at a target when its connection broke.
    struct broken_request
    {
        std::uint64_t fingerprint_ = 0;
        base::target_id target_;
        id_digest pool_{};
        /// Shared parts of its prompt that may have crashed the target.
        prompt_parts suspects_;
    };

    void on_broken(broken_request broken, base::time_point now);
    /// Returns the fingerprints of requests whose connections to the target
    /// broke shortly before; these count as crashes.
    std::vector<std::uint64_t> on_unreachable(base::target_id const& target,
                                              base::time_point now);
    void on_finished(std::uint64_t fingerprint, base::time_point now);
    bool blocked(std::uint64_t fingerprint, base::time_point now) const;

    void on_notice(crash_notice const& notice, base::time_point now);
    /// Adds recent crashes to the report for the other daemons.
    void add_notices(peer_report& report, base::time_point now);

    part_quarantine& parts() { return parts_; }
    part_quarantine const& parts() const { return parts_; }

private:
    struct broken_call
    {
        broken_request request_;
        base::time_point at_;
    };

    struct announced_crash
    {
        crash_notice notice_;
        base::time_point at_;
    };

    sched::quarantine quarantine_;
    part_quarantine parts_;
    std::deque<broken_call> broken_;
    /// Oldest first.
    std::deque<announced_crash> crashes_;
};

} // namespace tanagerlead::routing
