#pragma once

#include "src/sched/types.hpp"

#include <deque>

namespace tanagerlead::sched
{

/// Tracks the requests at a target: our own, which are known exactly, and those
/// of others, which come from the target's delayed load reports. A report also
/// counts our own requests at the time it was taken, so these are subtracted
/// and no request counts twice.
class load_view
{
public:
    /// Records the number of our own outstanding requests from `now` on.
    void set_own_requests(int outstanding, base::time_point now);
    void observe(target_load const& load, base::time_point now);

    int own_requests() const { return own_requests_; }
    /// Requests of others; zero when the last report is too old.
    int other_requests(base::time_point now) const;

private:
    struct change
    {
        base::time_point at_;
        int outstanding_ = 0;
    };

    int own_requests_at(base::time_point t) const;

    int own_requests_ = 0;
    /// Oldest first.
    std::deque<change> changes_;
    int other_requests_ = 0;
    base::time_point measured_at_{};
};

} // namespace tanagerlead::sched
