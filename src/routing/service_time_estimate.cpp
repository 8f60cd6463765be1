#include "src/routing/service_time_estimate.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

namespace
{

/// Weight limit of the mean in units, which makes a target that turns slow
/// visible after a few answers.
constexpr double max_weight = 40;
/// Weight of the newest answer in the failure rate.
constexpr double failure_gain = 0.15;

} // namespace

void service_time_estimate::observe(double seconds, double units)
{
    if (units <= 0)
    {
        return;
    }
    weight_ = std::min(weight_ + units, max_weight);
    auto const part = std::min(1.0, units / weight_);
    mean_ += part * (seconds / units - mean_);
}

void failure_rate::add(bool failed)
{
    value_ += failure_gain * ((failed ? 1.0 : 0.0) - value_);
}

} // namespace tanagerlead::routing
