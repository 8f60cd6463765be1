#include "src/routing/target_directory.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

base::target_id const a{"a"};

} // namespace

TEST_GROUP(target_directory)
{
    target_directory directory_;

    void setup() override
    {
        directory_.on_list({target("a"), target("b")}, at(0s));
    }
};

TEST(target_directory, drops_a_removed_target_at_once)
{
    directory_.on_removed(a, at(1s));
    LONGS_EQUAL(1, directory_.targets().size());
}

TEST(target_directory, drops_targets_missing_from_a_new_list)
{
    directory_.on_list({target("b"), target("c")}, at(1s));
    LONGS_EQUAL(2, directory_.targets().size());
    STRCMP_EQUAL("b", directory_.targets().front().id_.str().c_str());
}

TEST(target_directory, keeps_entries_that_expired_in_an_outage_for_a_while)
{
    directory_.on_registry_lost();
    directory_.on_registry_back(at(10s));
    directory_.on_list({target("b")}, at(10s));
    LONGS_EQUAL(2, directory_.targets().size());
    CHECK(!directory_.expire(at(11900ms)));
    CHECK(directory_.next_wakeup() == at(12s));
    CHECK(directory_.expire(at(12s)));
    LONGS_EQUAL(1, directory_.targets().size());
}

TEST(target_directory, keeps_an_entry_that_is_back_in_time)
{
    directory_.on_registry_lost();
    directory_.on_registry_back(at(10s));
    directory_.on_removed(a, at(10s));
    directory_.on_entry(target("a"));
    CHECK(!directory_.expire(at(13s)));
    LONGS_EQUAL(2, directory_.targets().size());
}

TEST(target_directory, drops_a_draining_target_that_expired_in_an_outage)
{
    auto leaving = target("a");
    leaving.draining_ = true;
    directory_.on_entry(leaving);
    directory_.on_registry_lost();
    directory_.on_registry_back(at(10s));
    directory_.on_removed(a, at(10s));
    LONGS_EQUAL(1, directory_.targets().size());
}

TEST(target_directory, keeps_everything_while_the_registry_is_unavailable)
{
    directory_.on_registry_lost();
    directory_.on_registry_back(at(10s));
    directory_.on_removed(a, at(10s));
    directory_.on_registry_lost();
    CHECK(!directory_.expire(at(20s)));
    LONGS_EQUAL(2, directory_.targets().size());
}
