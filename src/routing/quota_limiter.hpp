#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"
#include "src/routing/route.hpp"

#include <map>
#include <vector>

namespace tanagerlead::routing
{

/// Units that one workspace spent at this daemon since it started.
struct quota_usage
{
    base::workspace_id workspace_;
    std::int64_t units_ = 0;
};

/// Enforces fleet-wide quotas with token buckets. A workspace that asks for
/// more than its quota gets its quota, spent on its highest ranks first,
/// whatever the size of its requests. Each
/// daemon keeps one bucket for each workspace and takes out of it what it
/// admits and what the other daemons report. While some daemons are silent, the
/// buckets fill only at the heard fraction of the rate, so that groups that
/// cannot reach each other stay within the quota together.
class quota_limiter
{
public:
    /// `slack` units may be spent beyond rate and burst. Operators grant them
    /// for the time that daemons take to hear of each other.
    explicit quota_limiter(double slack) : slack_{slack} {}

    void configure(std::vector<workspace> const& workspaces,
                   base::time_point now);
    /// Fraction of the daemons that are heard, this one included; 0 to 1.
    void set_heard_fraction(double fraction, base::time_point now);

    /// Units of one request and its relative rank within the workspace: 0 for
    /// the first rank, 1 for the last.
    struct demand
    {
        double units_ = 0;
        double relative_rank_ = 0;
    };

    /// Takes the units out of the bucket, or returns false when the workspace
    /// has too few for a request of mean size. A larger one takes the bucket
    /// below zero. The last units are reserved for requests of higher ranks.
    bool admit(base::workspace_id const& id, demand const& d,
               base::time_point now);
    /// Returns units of a request that was admitted and did not run.
    void refund(base::workspace_id const& id, double units);
    /// Delay after which a refused request should be retried. It grows with
    /// each refused request, so that they do not all return at once.
    base::duration schedule_retry(base::workspace_id const& id, demand const& d,
                                  base::time_point now);

    /// Bucket state that is logged with a refusal.
    struct bucket_status
    {
        double rate_ = 0;
        double level_ = 0;
        double heard_fraction_ = 1;
    };
    bucket_status inspect(base::workspace_id const& id) const;

    /// Another daemon spent this many units since its last report; negative
    /// when it returned units.
    void on_peer_usage(base::workspace_id const& id, double units,
                       base::time_point now);
    /// Totals of the workspaces that spent units at this daemon since `since`.
    std::vector<quota_usage> own_usage(base::time_point since) const;

private:
    struct bucket
    {
        double rate_ = 0;
        double burst_ = 0;
        double level_ = 0;
        double spent_ = 0;
        /// Mean units of an admitted request; zero before the first one.
        double mean_units_ = 0;
        /// Units of refused requests that are expected to be retried.
        double pending_retry_units_ = 0;
        base::time_point last_refill_{};
        base::time_point last_spent_ = base::time_point::min();
    };

    void refill(bucket& b, base::time_point now) const;
    /// Units that a request of mean size takes, or this one before any is
    /// known.
    static double typical_units(bucket const& b, demand const& d);
    /// Units that are kept for requests of higher ranks.
    static double reserve(bucket const& b, demand const& d);

    std::map<base::workspace_id, bucket> buckets_;
    double slack_;
    double heard_fraction_ = 1.0;
};

} // namespace tanagerlead::routing
