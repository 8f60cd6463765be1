#include "src/base/clock.hpp"

namespace tanagerlead::base
{

time_point steady_clock::now() const
{
    auto const since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

} // namespace tanagerlead::base
