#pragma once

#include "src/base/units.hpp"

#include <atomic>

namespace tanagerlead::base
{

/// Where decision code gets its time from.
class clock
{
public:
    virtual ~clock() = default;
    virtual time_point now() const = 0;
};

/// Time since this machine booted, which never steps. It counts the time in
/// which the machine was suspended, so what was granted for a while before a
/// suspension has run out after it.
time_point time_since_boot();

/// The clock of `time_since_boot`.
class steady_clock final : public clock
{
public:
    time_point now() const override { return time_since_boot(); }
};

/// Time that a test sets.
class manual_clock final : public clock
{
public:
    time_point now() const override { return time_point{duration{now_}}; }
    void advance(duration step) { now_ += step.count(); }

private:
    std::atomic<duration::rep> now_{0};
};

} // namespace tanagerlead::base
