#pragma once

#include "src/rollout/types.hpp"

#include <map>

namespace tanagerlead::rollout
{

/// Compares the answers of two versions, route by route, over all daemons.
/// A CUSUM of log-likelihood ratios raises the alarm, also for a version that
/// turns bad late; a sequential probability ratio test accepts.
class evidence
{
public:
    explicit evidence(base::incarnation life) { own_.life_ = life; }

    /// One answer at this daemon. `latency` until the first byte.
    void on_answer(route_digest route, arm version, bool failed,
                   base::duration latency);
    /// Counts of another daemon; older or repeated ones change nothing.
    void merge(base::daemon_id const& peer, base::incarnation life,
               std::map<route_digest, route_counts> const& routes);
    /// Takes in what has come since the last call.
    void evaluate();

    /// Stays set once the new version was found bad.
    bool alarm() const { return alarm_; }
    /// True while enough answers say that the new version is no worse.
    bool accepted() const;
    /// This daemon's own counts.
    std::map<route_digest, route_counts> const& own() const
    {
        return own_.routes_;
    }
    /// Bad answers of the new version, as known here.
    std::uint64_t bad_after() const;

private:
    struct source
    {
        base::incarnation life_{};
        std::map<route_digest, route_counts> routes_;
    };

    struct latency_bound
    {
        double seconds_ = 0;
        int samples_ = 0;
    };

    struct test_state
    {
        route_counts pending_;
        route_counts total_;
        /// Recent answers of the old version.
        double recent_answers_ = 0;
        double recent_bad_ = 0;
        /// Sum that restarts at 0, for the alarm.
        double cusum_ = 0;
        /// Sum since the start, for acceptance.
        double ratio_ = 0;
    };

    bool is_slow(route_digest route, arm version, base::duration latency);
    void evaluate(test_state& test);

    source own_;
    std::map<base::daemon_id, source> peers_;
    std::map<route_digest, latency_bound> latencies_;
    std::map<route_digest, test_state> tests_;
    bool alarm_ = false;
};

} // namespace tanagerlead::rollout
