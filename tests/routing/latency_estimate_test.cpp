#include "src/routing/latency_estimate.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

TEST_GROUP(latency_estimate){};

TEST(latency_estimate, falls_back_until_it_has_enough_samples)
{
    latency_estimate e;
    for (int i = 0; i < 15; ++i)
    {
        e.observe(20ms);
        CHECK(e.limit(4, 1s) == base::duration{1s});
    }
    e.observe(20ms);
    CHECK(e.limit(4, 1s) < base::duration{50ms});
}

TEST(latency_estimate, follows_a_pool_that_turns_slow)
{
    latency_estimate e;
    for (int i = 0; i < 50; ++i)
    {
        e.observe(20ms);
    }
    for (int i = 0; i < 50; ++i)
    {
        e.observe(200ms);
    }
    CHECK(e.limit(0, 1s) > base::duration{190ms});
}

TEST(latency_estimate, widens_with_the_spread)
{
    latency_estimate steady;
    latency_estimate spread;
    for (int i = 0; i < 60; ++i)
    {
        steady.observe(100ms);
        spread.observe(i % 2 == 0 ? 50ms : 150ms);
    }
    CHECK(spread.limit(4, 1s) > steady.limit(4, 1s) + 100ms);
}
