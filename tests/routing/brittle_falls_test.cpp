#include "tests/routing/simulated_brittle.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <string>

using namespace tanagerlead;
using namespace tanagerlead::routing::testing;

namespace
{

void check_falls(simulated_brittle::settings const& s, std::uint64_t seed)
{
    simulated_brittle fleet{s, seed};
    auto const got = fleet.run();
    auto const allowed = 2 + static_cast<int>(s.targets_) / 10;
    auto const text =
        std::to_string(s.daemons_) + " daemons, " +
        std::to_string(s.max_rejections_) + " rejections a second, seed " +
        std::to_string(seed) + ": " + std::to_string(got.falls_) + " falls, " +
        std::to_string(allowed) + " allowed, the first of " + got.first_fall_ +
        "; " + std::to_string(got.rejections_) + " rejections, " +
        std::to_string(got.unaware_) + " unaware, " +
        std::to_string(got.repeated_) + " repeated; served " +
        std::to_string(got.served_) + " of " + std::to_string(got.asked_);
    CHECK_TEXT(got.falls_ <= allowed, text.c_str());
    CHECK_TEXT(got.served_ > 0, text.c_str());
    if (std::getenv("BRITTLE_FALLS_VERBOSE") != nullptr)
    {
        UT_PRINT(text.c_str());
    }
}

} // namespace

TEST_GROUP(brittle_falls){};

TEST(brittle_falls, are_rare_with_7_daemons)
{
    for (int const rejections : {2, 5, 10})
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            check_falls({.max_rejections_ = rejections}, seed);
        }
    }
}

TEST(brittle_falls, are_rare_at_targets_of_many_slots)
{
    for (std::uint64_t seed = 1; seed <= 24; ++seed)
    {
        check_falls({.slots_ = 24}, seed);
    }
}

TEST(brittle_falls, are_rare_with_75_daemons)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        check_falls({.daemons_ = 75,
                     .targets_ = 40,
                     .stable_window_ = 4s,
                     .report_interval_ = 300ms},
                    seed);
    }
}

TEST(brittle_falls, are_rare_with_295_daemons)
{
    check_falls({.daemons_ = 295,
                 .targets_ = 60,
                 .stable_window_ = 5s,
                 .report_interval_ = 1s,
                 .length_ = 14s},
                1);
}
