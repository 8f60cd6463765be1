#pragma once

#include <span>

namespace tanagerlead::sched
{

/// How slow one target is: time taken over time expected of its generation for
/// the same lengths and concurrency.
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
    /// Since the last change of the verdict.
    int samples_ = 0;
    bool is_straggler_ = false;
};

/// Compares a target with its peers. When all of them slow down together none
/// is a straggler.
class straggler_detector
{
public:
    /// Answers needed for a verdict.
    static constexpr int min_samples = 3;
    /// Peers needed to compare with.
    static constexpr int min_peers = 2;

    /// Judges `subject` after it got an answer; `peers` are the others of its
    /// generation. True when the verdict changed.
    static bool update_straggler_state(slowness& subject,
                                       std::span<slowness const* const> peers);
};

} // namespace tanagerlead::sched
