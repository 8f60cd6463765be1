#pragma once

#include "src/base/units.hpp"

namespace tanagerlead::sched
{

/// Measurements of one successful answer, taken outside the target.
struct observation
{
    /// Prompt tokens that were not in the target's cache.
    base::token_count uncached_ = 0;
    base::token_count output_ = 0;
    /// From the dispatch to the first token; zero when it was not seen.
    base::duration first_token_{};
    /// From the dispatch to the end.
    base::duration elapsed_{};
    /// Mean number of requests outstanding at the target meanwhile.
    double concurrency_ = 1;
    /// In output-token equivalents.
    double cost_ = 1;
};

/// Properties of a request whose times are predicted.
struct workload
{
    base::token_count uncached_ = 0;
    base::token_count output_ = 0;
    /// Requests outstanding, including this one.
    double concurrency_ = 1;
};

/// Speed of one target, or of a generation of targets, learned from answers:
/// the prefill rate, and the time of a decode step as a linear function of
/// concurrency.
class target_model
{
public:
    /// Answers needed before the model is used.
    static constexpr int min_samples = 3;

    void add(observation const& o);

    bool ready() const { return samples_ >= min_samples; }
    /// Seconds to the first token.
    double first_token(base::token_count uncached) const;
    /// Seconds of prefill alone.
    double prefill(base::token_count uncached) const;
    /// Seconds between tokens.
    double step(double concurrency) const;
    /// Seconds to the end of the answer.
    double service_time(workload const& work) const;
    /// Seconds for which one unit of cost occupies one of the concurrent
    /// requests.
    double seconds_per_cost() const { return mean_service_time_ / mean_cost_; }
    /// Mean seconds from the dispatch to the end.
    double mean_service_time() const { return mean_service_time_; }

private:
    void learn_first_token(base::token_count uncached, double seconds);
    void learn_step(double concurrency, double seconds);

    int samples_ = 0;
    /// Tokens per second.
    double prefill_rate_ = 5000;
    double overhead_ = 0;
    double mean_service_time_ = 0;
    double mean_cost_ = 1;
    /// Decayed sums of a linear regression of step time over concurrency.
    double n_ = 0;
    double sum_concurrency_ = 0;
    double sum_step_ = 0;
    double sum_concurrency_squared_ = 0;
    double sum_concurrency_step_ = 0;
    bool has_prefill_rate_ = false;
};

} // namespace tanagerlead::sched
