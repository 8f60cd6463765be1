#pragma once

#include "src/sched/target_state.hpp"
#include "src/sched/waiting_request.hpp"

#include <functional>
#include <list>

namespace tanagerlead::sched
{

/// A request that was taken out of the queue but could not be dispatched.
struct deferred_request
{
    waiting_request* request_ = nullptr;
    /// The target the request waits for; null if any target will do.
    target_state* preferred_target_ = nullptr;
    base::time_point until_ = base::time_point::max();
};

/// Requests that were taken out of the queue but could not be dispatched at
/// once: requests that wait a short time for the target with their cached
/// prefix, and suspects, which must not run together. The list is short, so
/// linear searches are fast enough.
class deferred_requests
{
public:
    void add(deferred_request entry);
    void remove(waiting_request const& request);
    bool empty() const { return entries_.empty(); }
    bool contains(waiting_request const& request) const;

    /// Lets a request run on any target once its wait is over or its target can
    /// take no more work.
    void release_due(base::time_point now);
    void release_all();
    /// The next time at which a request's wait ends; `time_point::max()` if
    /// none waits for a certain target.
    base::time_point next_change() const;

    /// Returns the first entry of the highest tier, not below `lowest`, for
    /// which `can_run` is true; null if there is none.
    deferred_request const*
    pick(base::tier lowest,
         std::function<bool(deferred_request const&)> const& can_run) const;

private:
    static void clear_preference(deferred_request& entry);

    std::list<deferred_request> entries_;
};

} // namespace tanagerlead::sched
