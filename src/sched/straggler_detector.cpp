#include "src/sched/straggler_detector.hpp"

#include <algorithm>
#include <vector>

namespace tanagerlead::sched
{

namespace
{

constexpr double gain = 0.4;
/// A straggler gets few answers, so each counts for more.
constexpr double straggler_gain = 0.7;
/// A straggler takes more than this multiple of its peers' median.
constexpr double slow_factor = 2.0;
/// It is none any more below this multiple.
constexpr double normal_factor = 1.4;

} // namespace

void slowness::add(double ratio)
{
    auto const weight = straggles_ ? straggler_gain : gain;
    value_ = samples_ == 0 ? ratio : value_ + weight * (ratio - value_);
    ++samples_;
}

bool straggler_detector::judge(slowness& subject,
                               std::span<slowness const* const> peers)
{
    std::vector<double> ratios;
    ratios.reserve(peers.size());
    for (auto const* peer : peers)
    {
        if (peer->known())
        {
            ratios.push_back(peer->value());
        }
    }
    if (subject.samples_ < enough_answers || ratios.size() < enough_peers)
    {
        return false;
    }
    // With an even count the larger of the two middle ones: in doubt a target
    // is no straggler.
    auto const middle =
        ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    auto const factor = subject.straggles_ ? normal_factor : slow_factor;
    auto const straggles = subject.value_ > factor * *middle;
    if (straggles == subject.straggles_)
    {
        return false;
    }
    subject.straggles_ = straggles;
    subject.samples_ = 0;
    return true;
}

} // namespace tanagerlead::sched
