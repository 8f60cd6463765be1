#pragma once

#include "src/base/random.hpp"
#include "src/base/units.hpp"

#include <mutex>

namespace tanagerlead::request
{

/// Spreads the retries of many callers that were refused at one time. Any
/// thread.
class retry_advice
{
public:
    explicit retry_advice(std::uint64_t seed) : random_{seed} {}

    /// Uniform in [typical / 2, typical * 3 / 2).
    base::duration around(base::duration typical);

private:
    std::mutex mutex_;
    base::random_source random_;
};

} // namespace tanagerlead::request
