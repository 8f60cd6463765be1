#include "tests/routing/fixtures.hpp"
#include "tests/routing/simulated_registry.hpp"

#include <CppUTest/TestHarness.h>

#include <initializer_list>

using namespace tanagerlead;
using namespace tanagerlead::routing::testing;

TEST_GROUP(following_fleet){
    void check(simulated_registry::settings const& s,
               std::initializer_list<std::uint64_t> seeds){
        for (auto const seed
             : seeds){simulated_registry registry{s, seed};
registry.run(40s);
auto const text = std::to_string(s.daemons_) + " daemons, seed " +
                  std::to_string(seed) + ": " + registry.first_violation();
CHECK_TEXT(registry.violations() == 0, text.c_str());
CHECK_TEXT(registry.checked() > 0, text.c_str());
}
}
}
;

// Bounds: the stable window, then the time in which a departure counts.
TEST(following_fleet, seven_daemons_use_no_target_that_has_left)
{
    check({7, 3s, 2s}, {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12});
}

TEST(following_fleet, seventy_five_daemons_use_no_target_that_has_left)
{
    check({75, 4s, 3s}, {1, 2, 3, 4, 5, 6});
}

TEST(following_fleet, many_daemons_use_no_target_that_has_left)
{
    check({295, 5s, 4s}, {1, 2});
}

TEST(following_fleet, an_isolated_daemon_uses_no_target_that_has_left)
{
    check({1, 3s, 2s}, {1, 2, 3, 4, 5, 6, 7, 8});
}
