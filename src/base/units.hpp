#pragma once

#include <chrono>
#include <cstdint>

/// Units of time and work.
namespace tanagerlead::base
{

using duration = std::chrono::nanoseconds;

/// Time of an injected clock; comparable only within one process.
struct clock_domain
{
    using rep = base::duration::rep;
    using period = base::duration::period;
    using duration = base::duration;
    using time_point = std::chrono::time_point<clock_domain, base::duration>;
    static constexpr bool is_steady = true;
};
using time_point = clock_domain::time_point;

using namespace std::chrono_literals;

constexpr double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

constexpr double milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

constexpr duration from_seconds(double s)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(s));
}

/// A count of model tokens.
using token_count = std::int64_t;

} // namespace tanagerlead::base
