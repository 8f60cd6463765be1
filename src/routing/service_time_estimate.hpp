#pragma once

#include "src/base/units.hpp"

namespace tanagerlead::routing
{

/// Time that a target takes for one unit of work, estimated from its answers. A
/// unit is one event of a stream, or one whole answer of a plain service.
class service_time_estimate
{
public:
    void observe(double seconds, double units);

    /// Seconds a unit; `fallback` until something was observed.
    double seconds_per_unit(double fallback) const
    {
        return weight_ > 0 ? mean_ : fallback;
    }
    bool is_known() const { return weight_ > 0; }

private:
    double mean_ = 0;
    double weight_ = 0;
};

/// Fraction of recent answers that failed, 0 to 1.
class failure_rate
{
public:
    void add(bool failed);
    double value() const { return value_; }

private:
    double value_ = 0;
};

} // namespace tanagerlead::routing
