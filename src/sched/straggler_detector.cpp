#include "src/sched/straggler_detector.hpp"

#include <algorithm>
#include <vector>

namespace tanagerlead::sched
{

namespace
{

constexpr double gain = 0.4;
/// A straggler gets few requests, so each of its answers counts for more.
constexpr double straggler_gain = 0.7;
/// A target becomes a straggler above this multiple of its peers' median.
constexpr double straggler_threshold = 2.0;
/// A straggler recovers at or below this multiple.
constexpr double recovery_threshold = 1.4;

} // namespace

void slowness::add(double ratio)
{
    auto const weight = is_straggler_ ? straggler_gain : gain;
    value_ = samples_ == 0 ? ratio : value_ + weight * (ratio - value_);
    ++samples_;
}

bool straggler_detector::update_straggler_state(
    slowness& subject, std::span<slowness const* const> peers)
{
    std::vector<double> ratios;
    ratios.reserve(peers.size());
    for (auto const* peer : peers)
    {
        if (peer->has_samples())
        {
            ratios.push_back(peer->value());
        }
    }
    if (subject.samples_ < min_samples || ratios.size() < min_peers)
    {
        return false;
    }
    // With an even count this is the larger of the two middle ratios: in doubt
    // a target is not a straggler.
    auto const middle =
        ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    auto const factor =
        subject.is_straggler_ ? recovery_threshold : straggler_threshold;
    auto const is_straggler = subject.value_ > factor * *middle;
    if (is_straggler == subject.is_straggler_)
    {
        return false;
    }
    subject.is_straggler_ = is_straggler;
    subject.samples_ = 0;
    return true;
}

} // namespace tanagerlead::sched
