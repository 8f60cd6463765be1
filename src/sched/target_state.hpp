#pragma once

#include "src/config/configuration.hpp"
#include "src/sched/concurrency_limit.hpp"
#include "src/sched/load_view.hpp"
#include "src/sched/prefix_index.hpp"
#include "src/sched/straggler_detector.hpp"
#include "src/sched/target_health.hpp"
#include "src/sched/target_model.hpp"

#include <memory>

namespace tanagerlead::sched
{

/// State that a scheduler keeps for one target.
struct target_state
{
    config::target_config config_;
    /// Whether the current configuration names the target.
    bool configured_ = true;
    bool leaving_ = false;
    /// Requests granted or adopted whose end has not been reported.
    int outstanding_ = 0;
    /// Limit on outstanding requests now; zero when the target may take none.
    int max_outstanding_ = 0;
    /// Requests that wait for room at this particular target.
    int waiting_count_ = 0;
    /// Outstanding requests that are suspected of crashing targets.
    int suspect_count_ = 0;
    /// Prompt tokens of outstanding requests whose first token has not been
    /// seen yet.
    base::token_count prefilling_ = 0;
    base::time_point last_grant_{};

    target_health health_;
    load_view load_;
    std::unique_ptr<concurrency_limit> limit_;
    prefix_index prefixes_;
    target_model model_;
    /// Model shared by the targets of its generation.
    target_model const* generation_ = nullptr;
    slowness slowness_;

    bool serves(base::pool_id const& pool) const;
    /// Whether requests may be sent to the target, now or after it recovers.
    bool in_service() const
    {
        return configured_ && !leaving_ && !config_.draining_;
    }
    /// Whether the target is in service, healthy and not a straggler.
    bool dependable() const
    {
        return in_service() && health_.healthy() && !slowness_.is_straggler();
    }
    bool has_room() const { return outstanding_ < max_outstanding_; }
    /// Its own model once that is ready, otherwise that of its generation.
    target_model const& speed() const;
};

} // namespace tanagerlead::sched
