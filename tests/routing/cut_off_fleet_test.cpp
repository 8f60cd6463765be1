#include "tests/routing/simulated_reach.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace tanagerlead;
using namespace tanagerlead::routing::testing;

namespace
{

/// Of the first tries at daemons that are cut off, those that may fail.
constexpr int allowed_failures = 10;
constexpr double allowed_failure_fraction = 1.0 / 50;
constexpr double least_share = 2.0 / 3;
/// Requests of the busiest daemon, in multiples of the mean, where half of the
/// daemons are cut off.
constexpr double max_load = 3.0;

void check_fleet(simulated_reach::settings const& settings, std::uint64_t seed)
{
    simulated_reach fleet{settings, seed};
    fleet.run();
    auto const cut = fleet.at_cut();
    auto const others = fleet.at_others();
    auto const text = "seed " + std::to_string(seed) + ", " +
                      std::to_string(settings.daemons_) +
                      " daemons: " + std::to_string(cut.served_) + " of " +
                      std::to_string(cut.asked_) + " at cut ones, " +
                      std::to_string(others.served_) + " of " +
                      std::to_string(others.asked_) + " at others, load " +
                      std::to_string(fleet.max_load());
    auto const failed = cut.asked_ - cut.served_;
    CHECK_TEXT(cut.asked_ > 50, text.c_str());
    CHECK_TEXT(failed <=
                   allowed_failures + allowed_failure_fraction * cut.asked_,
               text.c_str());
    CHECK_TEXT(cut.served_ * others.asked_ >=
                   least_share * others.served_ * cut.asked_,
               text.c_str());
    LONGS_EQUAL_TEXT(others.asked_, others.served_, text.c_str());
    CHECK_TEXT(fleet.max_load() <= max_load, text.c_str());
    LONGS_EQUAL_TEXT(0, fleet.chained(), text.c_str());
    auto const after = fleet.afterwards();
    CHECK_TEXT(after.served_ >= 0.9 * after.asked_, text.c_str());
}

} // namespace

TEST_GROUP(cut_off_fleet){};

TEST(cut_off_fleet, serves_its_callers_with_7_daemons)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        check_fleet({.daemons_ = 7}, seed);
    }
}

TEST(cut_off_fleet, serves_its_callers_with_75_daemons)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        check_fleet({.daemons_ = 75, .requests_per_second_ = 1000}, seed);
    }
}

TEST(cut_off_fleet, serves_its_callers_with_295_daemons)
{
    check_fleet({.daemons_ = 295, .requests_per_second_ = 3000}, 1);
}
