#pragma once

#include "src/base/units.hpp"

namespace tanagerlead::sched
{

/// Tracks whether a target answers at all. After a failure it gets no requests
/// for a backoff time, which doubles with each further failure, and then one
/// probe at a time until one succeeds.
class target_health
{
public:
    struct settings
    {
        base::duration initial_backoff_ = std::chrono::milliseconds{500};
        base::duration max_backoff_ = std::chrono::seconds{16};
    };

    target_health() = default;
    explicit target_health(settings const& s) : settings_{s} {}

    /// A request dispatched at `dispatched` failed because the target died or
    /// could not be connected to.
    void on_lost(base::time_point dispatched, base::time_point now);
    /// The target answered with an error of its own.
    void on_error(base::time_point dispatched, base::time_point now);
    /// The target produced output.
    void on_progress(base::time_point now);

    /// Requests it may have outstanding: none, one probe, or as many as
    /// `limit`.
    int max_outstanding(int limit, base::time_point now) const;
    /// End of the current backoff; `time_point::max()` when there is none after
    /// `now`.
    base::time_point next_change(base::time_point now) const;
    bool healthy() const { return failures_ == 0; }

private:
    settings settings_{};
    int failures_ = 0;
    int consecutive_errors_ = 0;
    base::time_point backoff_end_{};
    base::time_point recovered_at_{};
};

} // namespace tanagerlead::sched
