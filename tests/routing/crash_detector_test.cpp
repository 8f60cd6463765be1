#include "src/routing/crash_detector.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

constexpr std::uint64_t poison_request = 7;

base::target_id id(int n)
{
    return base::target_id{"t" + std::to_string(n)};
}

} // namespace

TEST_GROUP(crash_detector)
{
    crash_detector detector_;

    void crash(int target, base::time_point now)
    {
        detector_.on_broken({poison_request, id(target), {}, {}}, now);
        detector_.on_unreachable(id(target), now + 10ms);
    }
};

TEST(crash_detector, blocks_a_request_after_three_crashes)
{
    crash(1, at(0s));
    crash(2, at(1s));
    CHECK(!detector_.blocked(poison_request, at(2s)));
    crash(3, at(2s));
    CHECK(detector_.blocked(poison_request, at(3s)));
}

TEST(crash_detector, ignores_lost_answers_without_a_crash)
{
    for (int n = 0; n < 9; ++n)
    {
        detector_.on_broken({poison_request, id(n), {}, {}}, at(n * 1s));
    }
    CHECK(!detector_.blocked(poison_request, at(9s)));
    LONGS_EQUAL(0, detector_.on_unreachable(id(0), at(9s)).size());
}

TEST(crash_detector, clears_a_request_that_finishes)
{
    crash(1, at(0s));
    crash(2, at(1s));
    detector_.on_finished(poison_request, at(1500ms));
    crash(3, at(2s));
    CHECK(!detector_.blocked(poison_request, at(3s)));
}

TEST(crash_detector, counts_a_crash_seen_by_two_daemons_once)
{
    crash_detector other;
    for (int n = 1; n <= 2; ++n)
    {
        crash(n, at(n * 1s));
        other.on_broken({poison_request, id(n), {}, {}}, at(n * 1s));
        other.on_unreachable(id(n), at(n * 1s + 20ms));
    }
    peer_report report;
    other.add_notices(report, at(2100ms));
    LONGS_EQUAL(2, report.crashes_.size());
    for (auto const& notice : report.crashes_)
    {
        detector_.on_notice(notice, at(2100ms));
    }
    CHECK(!detector_.blocked(poison_request, at(3s)));
    crash(3, at(3s));
    CHECK(detector_.blocked(poison_request, at(4s)));
}

TEST(crash_detector, stops_reporting_old_crashes)
{
    crash(1, at(0s));
    peer_report report;
    detector_.add_notices(report, at(10s));
    LONGS_EQUAL(0, report.crashes_.size());
}
