#include "src/routing/latency_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerlead::routing
{

namespace
{

/// Gains of RFC 6298.
constexpr double mean_gain = 1.0 / 8;
constexpr double deviation_gain = 1.0 / 4;
/// Samples needed before the estimate is used.
constexpr int min_samples = 16;
/// A lower bound: the engines in use read faster than this, even with the time
/// shared by a batch.
constexpr double prefill_tokens_per_second = 40000;

} // namespace

void latency_estimate::observe(base::duration value)
{
    auto const seconds = base::seconds(value);
    if (count_ == 0)
    {
        mean_ = seconds;
        deviation_ = seconds / 2;
    }
    else
    {
        deviation_ += deviation_gain * (std::abs(seconds - mean_) - deviation_);
        mean_ += mean_gain * (seconds - mean_);
    }
    count_ = std::min(count_ + 1, min_samples);
}

base::duration latency_estimate::limit(double deviations,
                                       base::duration fallback) const
{
    return count_ < min_samples
               ? fallback
               : base::from_seconds(mean_ + deviations * deviation_);
}

base::duration max_prefill_time(base::token_count tokens)
{
    return base::from_seconds(static_cast<double>(tokens) /
                              prefill_tokens_per_second);
}

} // namespace tanagerlead::routing
