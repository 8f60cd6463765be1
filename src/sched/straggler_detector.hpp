#pragma once

#include <span>

namespace tanagerlead::sched
{

/// Slowness of one target: smoothed ratio of the time taken to the time
/// expected of its generation for the same lengths and concurrency.
class slowness
{
public:
    void add(double ratio);

    bool has_samples() const { return samples_ > 0; }
    double value() const { return value_; }
    int samples() const { return samples_; }
    bool is_straggler() const { return is_straggler_; }

private:
    friend class straggler_detector;

    double value_ = 1;
    /// Samples since the straggler state last changed.
    int samples_ = 0;
    bool is_straggler_ = false;
};

/// Detects stragglers by comparing a target with its peers. When all of them
/// slow down together, none is a straggler.
class straggler_detector
{
public:
    /// Answers from a target needed to compare it.
    static constexpr int min_samples = 3;
    /// Peers with samples needed for a comparison.
    static constexpr int min_peers = 2;

    /// Updates whether `subject` is a straggler after an answer from it;
    /// `peers` are the other targets of its generation. True when the state
    /// changed.
    static bool update_straggler_state(slowness& subject,
                                       std::span<slowness const* const> peers);
};

} // namespace tanagerlead::sched
