#include "src/sched/target_model.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

namespace
{

/// Shorter prefills say more about overhead than about the rate.
constexpr base::token_count min_rate_tokens = 256;
/// Seconds between tokens before any sample.
constexpr double default_step = 0.02;
constexpr double gain = 0.2;
/// Gain of the means from which the capacity is computed.
constexpr double mean_gain = 0.05;
/// The prefill rate excludes queueing at the target, so a faster answer raises
/// it quickly and a slower one lowers it slowly.
constexpr double rate_gain_up = 0.3;
constexpr double rate_gain_down = 0.03;
/// Decay of the regression's sums with each answer.
constexpr double regression_decay = 0.95;
/// Minimum variance of concurrency for which a slope is computed.
constexpr double min_variance = 0.5;

void update_mean(double& mean, double value, double weight)
{
    mean += weight * (value - mean);
}

} // namespace

void target_model::learn_first_token(base::token_count uncached, double seconds)
{
    auto const tokens = static_cast<double>(uncached);
    if (uncached < min_rate_tokens)
    {
        auto const rest = std::max(seconds - tokens / prefill_rate_, 0.0);
        update_mean(overhead_, rest, samples_ == 0 ? 1.0 : gain);
        return;
    }
    auto const rate = tokens / std::max(seconds - overhead_, seconds / 2);
    auto const weight = rate > prefill_rate_ ? rate_gain_up : rate_gain_down;
    update_mean(prefill_rate_, rate, has_prefill_rate_ ? weight : 1.0);
    has_prefill_rate_ = true;
}

void target_model::learn_step(double concurrency, double seconds)
{
    for (auto* sum : {&n_, &sum_concurrency_, &sum_step_,
                      &sum_concurrency_squared_, &sum_concurrency_step_})
    {
        *sum *= regression_decay;
    }
    n_ += 1;
    sum_concurrency_ += concurrency;
    sum_step_ += seconds;
    sum_concurrency_squared_ += concurrency * concurrency;
    sum_concurrency_step_ += concurrency * seconds;
}

void target_model::add(observation const& o)
{
    auto const elapsed = base::seconds(o.elapsed_);
    if (elapsed <= 0)
    {
        return;
    }
    auto const decodes = o.output_ > 1;
    auto const first_token_seen = o.first_token_ > base::duration::zero();
    auto const first = first_token_seen ? base::seconds(o.first_token_)
                       : decodes ? std::min(first_token(o.uncached_), elapsed)
                                 : elapsed;
    if (first_token_seen || !decodes)
    {
        learn_first_token(o.uncached_, first);
    }
    if (decodes)
    {
        learn_step(o.concurrency_, std::max(elapsed - first, 0.0) /
                                       static_cast<double>(o.output_ - 1));
    }
    // Time and cost are averaged separately, because short answers would weigh
    // too much in a mean of their ratio.
    update_mean(mean_cost_, o.cost_, samples_ == 0 ? 1.0 : mean_gain);
    update_mean(mean_service_time_, elapsed, samples_ == 0 ? 1.0 : mean_gain);
    ++samples_;
}

double target_model::first_token(base::token_count uncached) const
{
    return overhead_ + prefill(uncached);
}

double target_model::prefill(base::token_count uncached) const
{
    return static_cast<double>(uncached) / prefill_rate_;
}

double target_model::step(double concurrency) const
{
    if (n_ == 0)
    {
        return default_step;
    }
    auto const mean_concurrency = sum_concurrency_ / n_;
    auto const mean_step = sum_step_ / n_;
    auto const variance =
        sum_concurrency_squared_ / n_ - mean_concurrency * mean_concurrency;
    if (variance < min_variance)
    {
        return mean_step;
    }
    auto const slope = std::max(
        (sum_concurrency_step_ / n_ - mean_concurrency * mean_step) / variance,
        0.0);
    // Far from the samples, the line may fall below any real step time.
    return std::max(mean_step + slope * (concurrency - mean_concurrency),
                    mean_step / 4);
}

double target_model::service_time(workload const& work) const
{
    auto const steps = std::max<base::token_count>(work.output_ - 1, 0);
    return first_token(work.uncached_) +
           static_cast<double>(steps) * step(work.concurrency_);
}

} // namespace tanagerlead::sched
