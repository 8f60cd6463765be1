#include "src/routing/answer_pace.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

/// An answer that is at its first target, after `events` of 60 ms each.
answer_progress progress(int events, base::duration left)
{
    return {events, events, (events - 1) * 60ms, left};
}

} // namespace

TEST_GROUP(answer_pace){};

TEST(answer_pace, an_answer_that_may_grow_to_three_times_its_length_stays)
{
    CHECK(!max_event_time_elsewhere(progress(100, 12100ms)));
}

TEST(answer_pace, an_answer_that_would_miss_its_deadline_needs_a_faster_target)
{
    auto const limit = max_event_time_elsewhere(progress(100, 11900ms));
    CHECK(limit.has_value());
    DOUBLES_EQUAL(0.036, base::seconds(*limit), 0.0001);
}

TEST(answer_pace, a_few_events_tell_no_pace)
{
    CHECK(!max_event_time_elsewhere(progress(15, 600ms)));
}

TEST(answer_pace, events_before_the_attempt_count_for_the_length_of_the_answer)
{
    CHECK(!max_event_time_elsewhere({40, 20, 19 * 60ms, 5s}));
    CHECK(max_event_time_elsewhere({120, 20, 19 * 60ms, 5s}).has_value());
}

TEST(answer_pace, an_answer_stays_when_no_time_is_left_for_a_move)
{
    CHECK(!max_event_time_elsewhere(progress(100, 400ms)));
}
