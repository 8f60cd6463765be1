#include "src/routing/crash_watch.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

constexpr std::uint64_t bad = 7;

base::target_id id(int n)
{
    return base::target_id{"t" + std::to_string(n)};
}

} // namespace

TEST_GROUP(crash_watch)
{
    crash_watch watch_;

    void crash(int target, base::time_point now)
    {
        watch_.on_broken(bad, id(target), now);
        watch_.on_unreachable(id(target), now + 10ms);
    }
};

TEST(crash_watch, blocks_a_request_after_three_deaths)
{
    crash(1, at(0s));
    crash(2, at(1s));
    CHECK(!watch_.blocked(bad, at(2s)));
    crash(3, at(2s));
    CHECK(watch_.blocked(bad, at(3s)));
}

TEST(crash_watch, takes_lost_answers_for_no_deaths)
{
    for (int n = 0; n < 9; ++n)
    {
        watch_.on_broken(bad, id(n), at(n * 1s));
    }
    CHECK(!watch_.blocked(bad, at(9s)));
    LONGS_EQUAL(0, watch_.on_unreachable(id(0), at(9s)).size());
}

TEST(crash_watch, is_cleared_by_an_answer_that_ends_well)
{
    crash(1, at(0s));
    crash(2, at(1s));
    watch_.on_finished(bad, at(1500ms));
    crash(3, at(2s));
    CHECK(!watch_.blocked(bad, at(3s)));
}

TEST(crash_watch, counts_a_death_that_two_daemons_saw_once)
{
    crash_watch other;
    for (int n = 1; n <= 2; ++n)
    {
        crash(n, at(n * 1s));
        other.on_broken(bad, id(n), at(n * 1s));
        other.on_unreachable(id(n), at(n * 1s + 20ms));
    }
    peer_report report;
    other.fill(report, at(2100ms));
    LONGS_EQUAL(2, report.crashes_.size());
    for (auto const& notice : report.crashes_)
    {
        watch_.on_notice(notice, at(2100ms));
    }
    CHECK(!watch_.blocked(bad, at(3s)));
    crash(3, at(3s));
    CHECK(watch_.blocked(bad, at(4s)));
}

TEST(crash_watch, stops_telling_old_crashes)
{
    crash(1, at(0s));
    peer_report report;
    watch_.fill(report, at(10s));
    LONGS_EQUAL(0, report.crashes_.size());
}
