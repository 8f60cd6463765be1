#include "src/sched/adaptive_limit.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

/// Factor applied to the limit on congestion.
constexpr double decrease_factor = 0.85;
/// A first token is late after this multiple of the expected time plus the
/// slack.
constexpr double late_first_token_factor = 2.5;
constexpr base::duration late_first_token_slack = 100ms;
/// Throughput below this fraction of the best seen counts as thrashing.
constexpr double thrashing_fraction = 0.6;
/// Slow decay of the best throughput with each sample, so that a change of the
/// load is learned.
constexpr double best_throughput_decay = 0.995;

} // namespace

int adaptive_limit::limit() const
{
    return std::max(1, static_cast<int>(std::floor(limit_)));
}

// A target queues what exceeds its slots, and its queue ignores tiers. One
// request more than it runs delays a first token by a whole answer, so the
// slots are the maximum.
void adaptive_limit::set_slots(int slots)
{
    if (slots != slots_)
    {
        slots_ = slots;
        limit_ = slots;
    }
}

bool adaptive_limit::is_congested(service_sample const& sample)
{
    auto const late = sample.first_token_ >
                      sample.expected_first_token_ * late_first_token_factor +
                          late_first_token_slack;
    auto const step = base::seconds(sample.decode_step_);
    if (step <= 0)
    {
        return late;
    }
    auto const throughput = sample.outstanding_ / step;
    best_throughput_ =
        std::max(best_throughput_ * best_throughput_decay, throughput);
    auto const is_thrashing =
        sample.outstanding_ >= limit() &&
        throughput < thrashing_fraction * best_throughput_;
    return late || is_thrashing;
}

// Requests dispatched before the last decrease still show the old congestion
// and must not cause another decrease.
void adaptive_limit::on_finished(service_sample const& sample,
                                 base::time_point now)
{
    auto const started_before_decrease = now - sample.elapsed_ < last_decrease_;
    if (is_congested(sample))
    {
        if (!started_before_decrease)
        {
            limit_ = std::max(1.0, limit_ * decrease_factor);
            last_decrease_ = now;
        }
        return;
    }
    if (!started_before_decrease && sample.outstanding_ >= limit())
    {
        limit_ = std::min(limit_ + 1 / limit_, static_cast<double>(slots_));
    }
}

} // namespace tanagerlead::sched
