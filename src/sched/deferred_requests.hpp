#pragma once

#include "src/sched/target_state.hpp"
#include "src/sched/waiting_request.hpp"

#include <functional>
#include <list>

namespace tanagerlead::sched
{

/// A request that had its turn in the queue and waits for a certain target.
struct deferred_request
{
    waiting_request* request_ = nullptr;
    /// The target it waits for; null when any will do.
    target_state* preferred_target_ = nullptr;
    base::time_point until_ = base::time_point::max();
};

/// Requests taken out of the queue that could not run at once: those that wait
/// a little for the target with their prefix, and suspects that must not run
/// beside each other. Short, so plain walks do.
class deferred_requests
{
public:
    void add(deferred_request entry);
    void remove(waiting_request const& request);
    bool empty() const { return entries_.empty(); }
    bool contains(waiting_request const& request) const;

    /// Lets requests run anywhere whose time is over or whose target can take
    /// no more work.
    void release_due(base::time_point now);
    void release_all();
    /// When `release` has something to do.
    base::time_point next_change() const;

    /// First entry, highest tier first, up to `lowest`, for which `runs` is
    /// true; null when there is none.
    deferred_request const*
    pick(base::tier lowest,
         std::function<bool(deferred_request const&)> const& can_run) const;

private:
    static void clear_preference(deferred_request& entry);

    std::list<deferred_request> entries_;
};

} // namespace tanagerlead::sched
