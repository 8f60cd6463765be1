#pragma once

#include "src/base/random.hpp"
#include "src/sched/types.hpp"

#include <absl/container/flat_hash_set.h>

#include <vector>

namespace tanagerlead::sched
{

/// Refusals that the next `advance` returns, each with a time to retry after.
class pending_refusals
{
public:
    void set_seed(std::uint64_t seed) { random_ = base::random_source{seed}; }

    /// Adds random jitter to `retry_seconds`, so that callers refused together
    /// do not all retry together.
    void add(work_item const& item, refusal_cause cause, double retry_seconds);
    bool contains(base::request_id request) const
    {
        return requests_.contains(request);
    }
    void remove(base::request_id request);
    void flush(std::vector<action>& out);

private:
    base::random_source random_{0};
    std::vector<refusal> refusals_;
    absl::flat_hash_set<base::request_id> requests_;
};

} // namespace tanagerlead::sched
