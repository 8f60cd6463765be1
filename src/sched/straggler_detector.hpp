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

    bool known() const { return samples_ > 0; }
    double value() const { return value_; }
    int samples() const { return samples_; }
    bool straggles() const { return straggles_; }

private:
    friend class straggler_detector;

    double value_ = 1;
    /// Since the last change of the verdict.
    int samples_ = 0;
    bool straggles_ = false;
};

/// Compares a target with its peers. When all of them slow down together none
/// is a straggler.
class straggler_detector
{
public:
    /// Answers needed for a verdict.
    static constexpr int enough_answers = 3;
    /// Peers needed to compare with.
    static constexpr int enough_peers = 2;

    /// Judges `subject` after it got an answer; `peers` are the others of its
    /// generation. True when the verdict changed.
    static bool judge(slowness& subject,
                      std::span<slowness const* const> peers);
};

} // namespace tanagerlead::sched
