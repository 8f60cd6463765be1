#include "src/sched/target_model.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

namespace
{

/// Shorter prefills say more about overhead than about the rate.
constexpr base::token_count least_rate_tokens = 256;
/// Seconds between tokens as long as none was seen.
constexpr double default_step = 0.02;
constexpr double gain = 0.2;
/// Of the means that capacity is worked out from.
constexpr double mean_gain = 0.05;
/// The prefill rate is that of a target without a queue, so faster answers
/// count at once and slower ones slowly.
constexpr double rate_gain_up = 0.3;
constexpr double rate_gain_down = 0.03;
/// Decay of the regression's sums with each answer.
constexpr double step_memory = 0.95;
/// Least variance of concurrency that gives a slope.
constexpr double least_variance = 0.5;

void follow(double& mean, double value, double weight)
{
    mean += weight * (value - mean);
}

} // namespace

void target_model::learn_first_token(base::token_count uncached, double seconds)
{
    auto const tokens = static_cast<double>(uncached);
    if (uncached < least_rate_tokens)
    {
        auto const rest = std::max(seconds - tokens / prefill_rate_, 0.0);
        follow(overhead_, rest, samples_ == 0 ? 1.0 : gain);
        return;
    }
    auto const rate = tokens / std::max(seconds - overhead_, seconds / 2);
    auto const weight = rate > prefill_rate_ ? rate_gain_up : rate_gain_down;
    follow(prefill_rate_, rate, rate_known_ ? weight : 1.0);
    rate_known_ = true;
}

void target_model::learn_step(double concurrency, double seconds)
{
    for (auto* sum : {&n_, &sum_c_, &sum_s_, &sum_cc_, &sum_cs_})
    {
        *sum *= step_memory;
    }
    n_ += 1;
    sum_c_ += concurrency;
    sum_s_ += seconds;
    sum_cc_ += concurrency * concurrency;
    sum_cs_ += concurrency * seconds;
}

void target_model::add(observation const& o)
{
    auto const elapsed = base::seconds(o.elapsed_);
    if (elapsed <= 0)
    {
        return;
    }
    auto const decodes = o.output_ > 1;
    auto const seen = o.first_token_ > base::duration::zero();
    auto const first = seen      ? base::seconds(o.first_token_)
                       : decodes ? std::min(first_token(o.uncached_), elapsed)
                                 : elapsed;
    if (seen || !decodes)
    {
        learn_first_token(o.uncached_, first);
    }
    if (decodes)
    {
        learn_step(o.concurrency_, std::max(elapsed - first, 0.0) /
                                       static_cast<double>(o.output_ - 1));
    }
    // Means of both, not of their ratio, in which short answers weigh too much.
    follow(mean_cost_, o.cost_, samples_ == 0 ? 1.0 : mean_gain);
    follow(mean_service_, elapsed, samples_ == 0 ? 1.0 : mean_gain);
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
    auto const mean_c = sum_c_ / n_;
    auto const mean_s = sum_s_ / n_;
    auto const variance = sum_cc_ / n_ - mean_c * mean_c;
    if (variance < least_variance)
    {
        return mean_s;
    }
    auto const slope =
        std::max((sum_cs_ / n_ - mean_c * mean_s) / variance, 0.0);
    // Far from what was seen, a line may go below any real step.
    return std::max(mean_s + slope * (concurrency - mean_c), mean_s / 4);
}

double target_model::service(workload const& work) const
{
    auto const steps = std::max<base::token_count>(work.output_ - 1, 0);
    return first_token(work.uncached_) +
           static_cast<double>(steps) * step(work.concurrency_);
}

} // namespace tanagerlead::sched
