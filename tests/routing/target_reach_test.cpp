#include "src/routing/target_reach.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

base::pool_id const models{"llm"};
base::pool_id const plain{"plain"};

} // namespace

TEST_GROUP(target_reach)
{
    target_reach reach_{1};

    void setup() override
    {
        reach_.set_targets({target("a"), target("b"), target("c"), target("d"),
                            target("e", 1, "plain")});
    }

    bool fail(std::string const& id, base::duration when)
    {
        return reach_.on_connect(target(id), false, at(when));
    }
};

TEST(target_reach, is_lost_when_several_targets_refuse_in_a_row)
{
    CHECK(!fail("a", 0ms));
    CHECK(!fail("a", 10ms));
    CHECK(!fail("b", 20ms));
    CHECK(reach_.reaches(models));
    CHECK(fail("c", 30ms));
    CHECK(!reach_.reaches(models));
    CHECK(reach_.reaches(plain));
    CHECK(!reach_.is_cut_off());
    LONGS_EQUAL(1, reach_.unreachable_pools().size());
}

TEST(target_reach, is_not_lost_while_other_targets_accept)
{
    for (int i = 0; i < 10; ++i)
    {
        CHECK(!fail("a", 0ms));
        CHECK(!fail("b", 0ms));
        reach_.on_connect(target("c"), true, at(0ms));
    }
    CHECK(reach_.reaches(models));
    CHECK(reach_.next_probe() == base::time_point::max());
}

TEST(target_reach, of_a_small_pool_is_lost_with_its_only_target)
{
    CHECK(reach_.on_connect(target("e", 1, "plain"), false, at(0ms)));
    CHECK(!reach_.reaches(plain));
}

TEST(target_reach, is_checked_before_it_counts_as_lost)
{
    fail("a", 0ms);
    CHECK(reach_.due_probes(at(0ms)).empty());
    fail("b", 10ms);
    auto const probed = reach_.due_probes(at(10ms));
    LONGS_EQUAL(1, probed.size());
    CHECK(probed[0].id_ != base::target_id{"a"});
    CHECK(probed[0].id_ != base::target_id{"b"});
    CHECK(reach_.due_probes(at(20ms)).empty());
}

TEST(target_reach, is_found_again_by_probes)
{
    for (auto const* const id : {"a", "b", "c"})
    {
        fail(id, 0ms);
    }
    CHECK(reach_.due_probes(at(100ms)).empty());
    auto const probed =
        reach_.due_probes(at(0ms) + target_reach::recovery_interval);
    LONGS_EQUAL(1, probed.size());
    CHECK(!reach_.on_connect(probed[0], false, at(750ms)));
    LONGS_EQUAL(1, reach_.due_probes(at(1s)).size());
    CHECK(reach_.on_connect(target("d"), true, at(1010ms)));
    CHECK(reach_.reaches(models));
    CHECK(reach_.next_probe() == base::time_point::max());
}

TEST(target_reach, is_cut_off_without_any_pool)
{
    CHECK(!target_reach{1}.is_cut_off());
    for (auto const* const id : {"a", "b", "c"})
    {
        fail(id, 0ms);
    }
    reach_.on_connect(target("e", 1, "plain"), false, at(0ms));
    CHECK(reach_.is_cut_off());
    reach_.set_targets({});
    CHECK(!reach_.is_cut_off());
}
