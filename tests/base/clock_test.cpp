#include "src/base/clock.hpp"

#include <CppUTest/TestHarness.h>

#include <ctime>

using namespace tanagerlead;

namespace
{

base::time_point boot_time()
{
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return base::time_point{std::chrono::seconds{read.tv_sec} +
                            std::chrono::nanoseconds{read.tv_nsec}};
}

} // namespace

TEST_GROUP(clock){};

// Guards against permissions that outlive a suspension of the machine. Only on
// a machine that was suspended do the clocks differ.
TEST(clock, counts_the_time_in_which_the_machine_was_suspended)
{
    auto const before = boot_time();
    auto const now = base::time_since_boot();
    CHECK(before <= now);
    CHECK(now <= boot_time());
    CHECK(base::steady_clock{}.now() >= now);
}
