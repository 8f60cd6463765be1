#include "src/sched/length_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerlead::sched
{

namespace
{

/// Effective window of a mean, in answers.
constexpr double mean_window = 32;
/// Weight of the prior, in answers.
constexpr double prior_weight = 3;
/// Fraction of the maximum output tokens that is expected without any history.
constexpr double default_output_fraction = 0.25;

std::size_t tier_index(work_item const& item)
{
    return std::min(base::index(item.tier_), base::max_tiers - 1);
}

} // namespace

void length_estimator::running_mean::add(double x)
{
    samples_ = std::min(samples_ + 1, mean_window);
    value_ += (x - value_) / samples_;
}

double length_estimator::running_mean::blend(double prior) const
{
    auto const weight = samples_ + prior_weight;
    return (value_ * samples_ + prior * prior_weight) / weight;
}

void length_estimator::add(work_item const& item, base::token_count output)
{
    auto const tokens = static_cast<double>(output);
    tiers_.at(tier_index(item)).add(tokens);
    key const k{item.workspace_, item.pool_};
    auto const found = histories_.find(k);
    if (found != histories_.end())
    {
        found->second.mean_.add(tokens);
        recent_.splice(recent_.begin(), recent_,
                       found->second.recent_position_);
        return;
    }
    if (histories_.size() >= capacity_)
    {
        histories_.erase(recent_.back());
        recent_.pop_back();
    }
    recent_.push_front(k);
    histories_[k] = {running_mean{tokens, 1}, recent_.begin()};
}

base::token_count length_estimator::estimate(work_item const& item) const
{
    auto const max_output = static_cast<double>(item.max_output_tokens_);
    auto tokens =
        tiers_.at(tier_index(item)).blend(default_output_fraction * max_output);
    auto const found = histories_.find(key{item.workspace_, item.pool_});
    if (found != histories_.end())
    {
        tokens = found->second.mean_.blend(tokens);
    }
    auto const bound = max_output > 0 ? std::min(tokens, max_output) : tokens;
    return std::llround(std::max(bound, 0.0));
}

} // namespace tanagerlead::sched
