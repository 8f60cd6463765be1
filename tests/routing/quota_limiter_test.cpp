#include "src/routing/quota_limiter.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

base::workspace_id const shop{"shop"};
constexpr double rate = 1000;

std::vector<workspace> one_workspace(double per_second = rate)
{
    workspace w;
    w.id_ = shop;
    w.rate_ = per_second;
    w.burst_ = per_second;
    return {w};
}

/// Units admitted when `units` are requested every millisecond for `seconds`.
double spend(quota_limiter& limiter, double units, double seconds,
             base::time_point from)
{
    double sum = 0;
    for (int ms = 0; ms < seconds * 1000; ++ms)
    {
        if (limiter.admit(shop, {units, 0}, from + ms * 1ms))
        {
            sum += units;
        }
    }
    return sum;
}

} // namespace

TEST_GROUP(quota_limiter){};

TEST(quota_limiter, keeps_rate_and_burst)
{
    quota_limiter limiter{0};
    limiter.configure(one_workspace(), at(0s));
    auto const got = spend(limiter, 10, 8, at(10s));
    CHECK(got <= rate * 8 + rate);
    CHECK(got >= rate * 8 + rate - 20);
}

TEST(quota_limiter, applies_no_limit_where_none_is_set)
{
    quota_limiter limiter{0};
    limiter.configure(one_workspace(0), at(0s));
    CHECK(limiter.admit(shop, {1e9, 0}, at(0s)));
}

TEST(quota_limiter, starts_with_part_of_the_burst)
{
    quota_limiter limiter{0};
    limiter.configure(one_workspace(), at(0s));
    CHECK(!limiter.admit(shop, {rate / 2, 0}, at(0s)));
    CHECK(limiter.admit(shop, {rate / 4, 0}, at(0s)));
}

TEST(quota_limiter, counts_what_others_spend_and_give_back)
{
    quota_limiter limiter{0};
    limiter.configure(one_workspace(), at(0s));
    limiter.on_peer_usage(shop, 900, at(10s));
    CHECK(!limiter.admit(shop, {200, 0}, at(10s)));
    limiter.on_peer_usage(shop, -500, at(10s));
    CHECK(limiter.admit(shop, {200, 0}, at(10s)));
}

TEST(quota_limiter, isolated_groups_keep_the_quota_together)
{
    // Three of seven daemons on one side, four on the other.
    quota_limiter left{0};
    quota_limiter right{0};
    left.configure(one_workspace(), at(0s));
    right.configure(one_workspace(), at(0s));
    spend(left, 10, 2, at(10s));
    spend(right, 10, 2, at(10s));
    left.set_heard_fraction(3.0 / 7, at(12s));
    right.set_heard_fraction(4.0 / 7, at(12s));
    auto const got = spend(left, 10, 8, at(12s)) + spend(right, 10, 8, at(12s));
    CHECK(got <= rate * 8 + 40);
}

TEST(quota_limiter, refunds_what_did_not_run)
{
    quota_limiter limiter{0};
    limiter.configure(one_workspace(), at(0s));
    CHECK(limiter.admit(shop, {1000, 0}, at(10s)));
    CHECK(!limiter.admit(shop, {500, 0}, at(10s)));
    limiter.refund(shop, 1000);
    CHECK(limiter.admit(shop, {500, 0}, at(10s)));
    LONGS_EQUAL(500, limiter.own_usage(at(9s)).front().units_);
}

// A workspace asks for half more than its quota, with equal numbers of requests
// of the first and the last rank.
TEST(quota_limiter, spends_a_scarce_quota_on_the_first_rank)
{
    quota_limiter limiter{0};
    limiter.configure(one_workspace(), at(0s));
    int first = 0;
    int last = 0;
    constexpr int each = 750;
    for (int i = 0; i < each; ++i)
    {
        auto const now = at(10s) + i * 13300us;
        first += limiter.admit(shop, {10, 0}, now) ? 1 : 0;
        last += limiter.admit(shop, {10, 1}, now) ? 1 : 0;
    }
    LONGS_EQUAL(each, first);
    CHECK(last > each / 4);
    CHECK(last < each);
}

TEST(quota_limiter, spreads_the_retries_of_refused_requests)
{
    quota_limiter limiter{0};
    limiter.configure(one_workspace(), at(0s));
    CHECK(limiter.admit(shop, {1000, 0}, at(10s)));
    auto const first = limiter.schedule_retry(shop, {500, 0}, at(10s));
    auto const second = limiter.schedule_retry(shop, {500, 0}, at(10s));
    DOUBLES_EQUAL(0.5, base::seconds(first), 0.01);
    DOUBLES_EQUAL(1.0, base::seconds(second), 0.01);
}
