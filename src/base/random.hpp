#pragma once

#include <cstdint>
#include <limits>

namespace tanagerlead::base
{

/// Seeded random source (splitmix64). Satisfies UniformRandomBitGenerator.
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed) : state_{seed} {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max()
    {
        return std::numeric_limits<result_type>::max();
    }

    result_type operator()();
    /// Uniform in [0, 1).
    double uniform();
    /// Uniform in [0, bound); bound > 0.
    std::uint64_t below(std::uint64_t bound);

private:
    std::uint64_t state_;
};

/// A seed from the operating system.
std::uint64_t entropy();

} // namespace tanagerlead::base
