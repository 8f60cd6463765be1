#include "tests/routing/simulated_outage.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace tanagerlead::routing::testing;

namespace
{

/// Failed connects, as a fraction of those without sharing.
constexpr double max_failed_fraction = 0.1;

simulated_outage::result play(std::size_t daemons, bool is_shared)
{
    simulated_outage fleet{{.daemons_ = daemons, .is_shared_ = is_shared}, 1};
    return fleet.run();
}

std::string text_of(simulated_outage::result const& alone,
                    simulated_outage::result const& shared)
{
    return "failed connects " + std::to_string(shared.failed_connects_) +
           ", alone " + std::to_string(alone.failed_connects_) +
           "; refused beside free slots " +
           std::to_string(shared.refused_beside_room_) + ", alone " +
           std::to_string(alone.refused_beside_room_) + "; served " +
           std::to_string(shared.served_) + ", alone " +
           std::to_string(alone.served_) + "; out at the end " +
           std::to_string(shared.out_at_end_);
}

void check_failed_connects(std::size_t daemons)
{
    auto const alone = play(daemons, false);
    auto const shared = play(daemons, true);
    auto const text = text_of(alone, shared);
    CHECK_TEXT(alone.failed_connects_ > 100, text.c_str());
    LONGS_EQUAL_TEXT(0, shared.out_at_end_, text.c_str());
    CHECK_TEXT(shared.failed_connects_ <=
                   max_failed_fraction * alone.failed_connects_,
               text.c_str());
}

void check_refusals(std::size_t daemons)
{
    auto const shared = play(daemons, true);
    auto const text = text_of({}, shared);
    LONGS_EQUAL_TEXT(0, shared.refused_beside_room_, text.c_str());
}

} // namespace

TEST_GROUP(refusing_targets){};

/// See KNOWN-RED.txt.
TEST_GROUP(outage_onset){};

TEST(outage_onset, costs_7_daemons_few_connects)
{
    check_failed_connects(7);
}

TEST(refusing_targets, cost_116_daemons_few_connects)
{
    check_failed_connects(116);
}

TEST(outage_onset, leaves_no_request_of_7_daemons_without_a_target)
{
    check_refusals(7);
}

TEST(outage_onset, leaves_no_request_of_116_daemons_without_a_target)
{
    check_refusals(116);
}
