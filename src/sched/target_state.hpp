#pragma once

#include "src/config/configuration.hpp"
#include "src/sched/concurrency_limit.hpp"
#include "src/sched/target_health.hpp"

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
    target_health health_;
    std::unique_ptr<concurrency_limit> limit_;
    /// Most it may have outstanding now; zero when it may take nothing.
    int allowed_ = 0;

    bool serves(base::pool_id const& pool) const;
    /// Work may be sent to it, now or after it recovers.
    bool in_service() const
    {
        return configured_ && !leaving_ && !config_.draining_;
    }
    bool has_room() const { return outstanding_ < allowed_; }
};

} // namespace tanagerlead::sched
