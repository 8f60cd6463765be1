#pragma once

#include "src/base/units.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace tanagerlead::base
{

/// Logarithmic histogram of durations from 100 us to 1000 s, 40 bins.
/// Built on Boost.Histogram, kept out of this header for its compile time.
/// Not thread-safe.
class duration_histogram
{
public:
    duration_histogram();
    duration_histogram(duration_histogram&&) noexcept;
    duration_histogram& operator=(duration_histogram&&) noexcept;
    ~duration_histogram();

    void add(duration value);
    void merge(duration_histogram const& other);

    std::uint64_t count() const;
    /// Sum of all values in seconds.
    double sum() const;
    /// Interpolated within a bin; q in [0, 1]; zero when empty.
    duration quantile(double q) const;

    /// Upper edges in seconds, one for each of `cumulative()`.
    static std::vector<double> upper_edges();
    std::vector<std::uint64_t> cumulative() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace tanagerlead::base
