#include "src/routing/slot_doubt.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

constexpr int own = 4;
constexpr base::duration rest = 1s;

} // namespace

TEST_GROUP(slot_doubt)
{
    slot_doubt doubt_;
};

TEST(slot_doubt, all_slots_may_be_used_at_first)
{
    LONGS_EQUAL(own, doubt_.usable(own, at(0s)));
    CHECK(!doubt_.on_sent(own, own - 1, rest, at(0s)));
}

TEST(slot_doubt, a_rejected_slot_rests_and_is_then_tried)
{
    doubt_.on_rejected(false, rest, at(0s));
    LONGS_EQUAL(own - 1, doubt_.usable(own, at(999ms)));
    LONGS_EQUAL(own, doubt_.usable(own, at(1s)));
    CHECK(!doubt_.on_sent(own, own - 2, rest, at(1s)));
    CHECK(doubt_.on_sent(own, own - 1, rest, at(1s)));
    // The trial is still at the target.
    LONGS_EQUAL(own - 1, doubt_.usable(own, at(1999ms)));
}

TEST(slot_doubt, slots_are_tried_one_after_the_other_until_they_are_admitted)
{
    for (int i = 0; i < own; ++i)
    {
        doubt_.on_rejected(false, rest, at(0s));
    }
    // A pause for each rejection.
    LONGS_EQUAL(0, doubt_.usable(own, at(3999ms)));
    LONGS_EQUAL(1, doubt_.usable(own, at(4s)));
    CHECK(doubt_.on_sent(own, 0, rest, at(4s)));
    LONGS_EQUAL(0, doubt_.usable(own, at(4s)));
    doubt_.on_admitted(at(4100ms));
    LONGS_EQUAL(2, doubt_.usable(own, at(4100ms)));
    CHECK(doubt_.on_sent(own, 1, rest, at(4100ms)));
    doubt_.on_rejected(true, rest, at(4200ms));
    LONGS_EQUAL(1, doubt_.usable(own, at(5s)));
    LONGS_EQUAL(2, doubt_.usable(own, at(5200ms)));
}

TEST(slot_doubt, further_slots_in_doubt_do_not_delay_those_before)
{
    doubt_.add(1, 500ms, at(0s));
    doubt_.add(1, 5s, at(0s));
    LONGS_EQUAL(own - 2, doubt_.usable(own, at(499ms)));
    LONGS_EQUAL(own - 1, doubt_.usable(own, at(500ms)));
    // Fewer slots than are in doubt.
    LONGS_EQUAL(1, doubt_.usable(1, at(500ms)));
    LONGS_EQUAL(0, doubt_.usable(0, at(500ms)));
}
