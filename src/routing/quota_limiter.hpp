#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"
#include "src/routing/route.hpp"

#include <map>
#include <vector>

namespace tanagerlead::routing
{

/// Units that one workspace spent at one daemon in its present life.
struct quota_usage
{
    base::workspace_id workspace_;
    std::int64_t units_ = 0;
};

/// Fleet-wide quotas by token bucket. Load it answers: a workspace that asks
/// for more than its quota gets its quota, spent on its highest ranks first.
/// Each daemon keeps a bucket a workspace and takes out of it what it admits
/// and what the others say they admitted. While some of the others are silent
/// the buckets fill only at the heard part of the rate, so that groups that
/// cannot hear each other stay within the quota together.
class quota_limiter
{
public:
    /// `slack` units may be spent beyond rate and burst: what the operators
    /// grant for the time that daemons take to hear of each other.
    explicit quota_limiter(double slack) : slack_{slack} {}

    void configure(std::vector<workspace> const& workspaces,
                   base::time_point now);
    /// Part of the daemons that are heard, this one included; 0 to 1.
    void set_heard_fraction(double fraction, base::time_point now);

    /// Units of one request, and how soon others of its workspace go before
    /// it: 0 for the first rank, 1 for the last.
    struct demand
    {
        double units_ = 0;
        double relative_rank_ = 0;
    };

    /// Takes the units out; false when the workspace has too few. The last of
    /// them are kept for requests of higher ranks.
    bool admit(base::workspace_id const& id, demand const& d,
               base::time_point now);
    /// Gives back what was admitted and did not run.
    void refund(base::workspace_id const& id, double units);
    /// When a refused request may come back. Later for each one refused before
    /// it, so that not all come at once.
    base::duration schedule_retry(base::workspace_id const& id, demand const& d,
                                  base::time_point now);

    /// What an operator wants to know of a refusal.
    struct bucket_status
    {
        double rate_ = 0;
        double level_ = 0;
        double heard_fraction_ = 1;
    };
    bucket_status inspect(base::workspace_id const& id) const;

    /// Another daemon spent this much more than it last said; less than zero
    /// when it gave units back.
    void on_peer_usage(base::workspace_id const& id, double units,
                       base::time_point now);
    /// Own totals of the workspaces that spent anything since `since`.
    std::vector<quota_usage> own_usage(base::time_point since) const;

private:
    struct bucket
    {
        double rate_ = 0;
        double burst_ = 0;
        double level_ = 0;
        double spent_ = 0;
        /// Units of refused requests that are to come back.
        double pending_retry_units_ = 0;
        base::time_point last_refill_{};
        base::time_point last_spent_ = base::time_point::min();
    };

    void refill(bucket& b, base::time_point now) const;
    static double required_level(bucket const& b, demand const& d);

    std::map<base::workspace_id, bucket> buckets_;
    double slack_;
    double heard_fraction_ = 1.0;
};

} // namespace tanagerlead::routing
