#include "src/base/clock.hpp"

#include <cassert>
#include <ctime>

namespace tanagerlead::base
{

// std::chrono::steady_clock stands still while the machine is suspended.
time_point time_since_boot()
{
    timespec read{};
    [[maybe_unused]] auto const failed = clock_gettime(CLOCK_BOOTTIME, &read);
    assert(failed == 0);
    return time_point{std::chrono::seconds{read.tv_sec} +
                      std::chrono::nanoseconds{read.tv_nsec}};
}

} // namespace tanagerlead::base
