#pragma once

#include "src/sched/concurrency_limit.hpp"

namespace tanagerlead::sched
{

/// Learns how many requests keep a target busy without a queue inside it,
/// because that queue ignores tiers. The limit grows by one after a round of
/// answers in time while all of it was used. It shrinks by a factor when first
/// tokens are late or decode steps grow faster than the concurrency.
class adaptive_limit final : public concurrency_limit
{
public:
    int limit() const override;
    /// Sets the initial limit, which is also the maximum.
    void set_slots(int slots) override;
    void on_finished(service_sample const& sample,
                     base::time_point now) override;

private:
    bool is_congested(service_sample const& sample);

    int slots_ = 0;
    double limit_ = 1;
    /// Best throughput in tokens per second, decayed with each sample.
    double best_throughput_ = 0;
    base::time_point last_decrease_{};
};

} // namespace tanagerlead::sched
