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

/// What a scheduler knows of one target.
struct target_state
{
    config::target_config config_;
    /// Still named by the configuration.
    bool configured_ = true;
    bool leaving_ = false;
    /// Granted or adopted and not seen to end.
    int outstanding_ = 0;
    /// Most it may have outstanding now; zero when it may take nothing.
    int max_outstanding_ = 0;
    /// Requests that wait for room at this very target.
    int waiting_count_ = 0;
    /// Suspects of ending targets among the outstanding.
    int suspect_count_ = 0;
    /// Prompt tokens sent whose first token is not seen yet.
    base::token_count prefilling_ = 0;
    base::time_point last_grant_{};

    target_health health_;
    load_view load_;
    std::unique_ptr<concurrency_limit> limit_;
    prefix_index prefixes_;
    target_model model_;
    /// Shared by the targets of its generation.
    target_model const* generation_ = nullptr;
    slowness slowness_;

    bool serves(base::pool_id const& pool) const;
    /// Work may be sent to it, now or after it recovers.
    bool in_service() const
    {
        return configured_ && !leaving_ && !config_.draining_;
    }
    /// In service and neither down nor slow.
    bool dependable() const
    {
        return in_service() && health_.healthy() && !slowness_.is_straggler();
    }
    bool has_room() const { return outstanding_ < max_outstanding_; }
    /// Its own model once there is one, else that of its generation.
    target_model const& speed() const;
};

} // namespace tanagerlead::sched
