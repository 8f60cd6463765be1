#include "tests/rollout/fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::rollout::testing;
using tanagerlead::rollout::arm;
using tanagerlead::rollout::phase;

namespace
{

base::software_version const v1{"1"};
base::software_version const v2{"2"};
rollout::order const to_v2{5, v2, 60s};

} // namespace

TEST_GROUP(rollout)
{
    rollout::rollout part_{{}, base::daemon_id{"a"}, base::incarnation{1}};

    void setup() override
    {
        part_.on_order(to_v2, {v1, v2}, 1, at(0s));
        part_.tick(at(0s));
    }

    int sent_after(base::duration when)
    {
        int out = 0;
        for (int i = 0; i < 100; ++i)
        {
            out += part_.choose(at(when)) == arm::after;
        }
        return out;
    }
};

TEST(rollout, sends_nothing_before_the_record_is_in_the_store)
{
    CHECK_EQUAL(0, sent_after(0s));
}

TEST(rollout, stops_when_the_record_was_not_seen_for_two_seconds)
{
    part_.on_record(rollout::record{5, v2, {v1}, phase::trial}, 1, at(0s));
    CHECK(sent_after(500ms) > 0);
    part_.tick(at(900ms));
    part_.tick(at(1800ms));
    part_.tick(at(2100ms));
    CHECK_EQUAL(0, sent_after(2100ms));
}

TEST(rollout, writes_the_end_again_to_an_older_store)
{
    part_.on_record(rollout::record{5, v2, {v1}, phase::rolled_back}, 9,
                    at(0s));
    part_.on_store_restored();
    part_.on_record(rollout::record{5, v2, {v1}, phase::trial}, 3, at(1s));
    CHECK_EQUAL(0, sent_after(1s));
    auto const todo = part_.tick(at(1s));
    CHECK(todo.write_.has_value());
    CHECK(todo.write_->record_.phase_ == phase::rolled_back);
    CHECK_EQUAL(3, todo.write_->expected_);
}

TEST(rollout, rejects_a_damaged_order)
{
    CHECK(rollout::check(to_v2).empty());
    CHECK(!rollout::check({5, {}, 60s}).empty());
    CHECK(!rollout::check({5, v2, 0s}).empty());
}
