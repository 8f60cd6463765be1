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

/// Monotonic time of this machine.
class steady_clock final : public clock
{
public:
    time_point now() const override;
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
