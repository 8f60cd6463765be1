#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <absl/container/btree_set.h>

#include <tuple>

namespace tanagerlead::sched
{

/// Request ids ordered by the time at which the request expires.
class expiry_queue
{
public:
    void add(base::time_point at, base::request_id request)
    {
        entries_.insert({at, request});
    }
    void remove(base::time_point at, base::request_id request)
    {
        entries_.erase({at, request});
    }
    bool due(base::time_point now) const { return next() <= now; }
    /// Earliest expiry time; `time_point::max()` if the queue is empty.
    base::time_point next() const
    {
        return entries_.empty() ? base::time_point::max()
                                : entries_.begin()->at_;
    }
    /// The request that expires first. The queue must not be empty.
    base::request_id first() const { return entries_.begin()->request_; }

private:
    struct entry
    {
        base::time_point at_;
        base::request_id request_;

        bool operator<(entry const& other) const { return key() < other.key(); }
        std::tuple<base::time_point, std::uint64_t, std::uint64_t> key() const
        {
            return {at_, request_.origin_, request_.sequence_};
        }
    };

    absl::btree_set<entry> entries_;
};

} // namespace tanagerlead::sched
