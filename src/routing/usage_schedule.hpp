#pragma once

#include "src/routing/peer_report.hpp"
#include "src/routing/quota_limiter.hpp"

namespace tanagerlead::routing
{

/// Adds what workspaces spent at this daemon to the reports to one group of
/// daemons. Running totals are sent, so a report that omits a workspace loses
/// nothing. Where not all workspaces fit, the next report begins with those
/// that were left out.
class usage_schedule
{
public:
    /// Reports in between carry no usage. A quota may be exceeded by the units
    /// admitted in this interval, which are far fewer than its burst.
    static constexpr base::duration min_interval =
        std::chrono::milliseconds{50};

    /// `repeat_time` is how long a workspace is reported after it spent.
    void add_to(peer_report& report, quota_limiter const& quotas,
                base::duration repeat_time, base::time_point now);

private:
    base::time_point sent_at_{};
    /// First workspace that did not fit into the last report.
    std::size_t next_ = 0;
};

} // namespace tanagerlead::routing
