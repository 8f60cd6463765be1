#include "src/routing/entry_readings.hpp"
#include "src/routing/target_versions.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

target_info versioned(std::string const& version)
{
    auto out = target("a");
    out.version_ = base::software_version{version};
    return out;
}

version_digest digest_of_version(std::string const& version)
{
    return digest_of(base::pool_id{"llm"}, base::software_version{version});
}

} // namespace

TEST_GROUP(target_versions)
{
    target_versions versions_;

    void setup() override
    {
        versions_.set_targets({versioned("1")}, at(0s));
        versions_.on_registry_current(at(0s));
    }
};

TEST(target_versions, are_known_once_the_entry_was_read_after_the_connect)
{
    auto const young = versions_.version_of(versioned("1"), at(10s), at(10s));
    CHECK(young.known_from_ == at(10s) + target_versions::recheck_interval);
    versions_.on_entry_read(base::target_id{"a"}, versioned("1"), at(9999ms));
    CHECK(versions_.version_of(versioned("1"), at(10s), at(11s))
              .known_from_.has_value());
    versions_.on_entry_read(base::target_id{"a"}, versioned("1"), at(10s));
    auto const old = versions_.version_of(versioned("1"), at(10s), at(11s));
    CHECK(old.version_ == digest_of_version("1"));
    CHECK(!old.known_from_);
}

TEST(target_versions, are_known_once_all_changes_until_the_connect_are)
{
    versions_.on_registry_confirmed(at(9999ms));
    CHECK(versions_.version_of(versioned("1"), at(10s), at(1h))
              .known_from_.has_value());
    versions_.on_registry_confirmed(at(10s));
    CHECK(!versions_.version_of(versioned("1"), at(10s), at(10s)).known_from_);
}

// The registry may be silent, which is noticed only later.
TEST(target_versions, are_not_known_by_the_passing_of_time)
{
    CHECK(versions_.version_of(versioned("1"), at(10s), at(1h))
              .known_from_.has_value());
}

TEST(target_versions, are_unknown_when_the_entry_read_is_of_another_process)
{
    versions_.on_entry_read(base::target_id{"a"}, versioned("1"), at(9s));
    versions_.on_entry_read(base::target_id{"a"}, versioned("2"), at(12s));
    auto const young = versions_.version_of(versioned("1"), at(11s), at(12s));
    CHECK(young.version_ == unknown_version);
    CHECK(!young.known_from_);
    // This connection was opened before the restart.
    CHECK(versions_.version_of(versioned("1"), at(9s), at(12s)).version_ ==
          digest_of_version("1"));
}

TEST(target_versions, are_unknown_when_the_target_has_restarted)
{
    versions_.set_targets({versioned("2")}, at(10500ms));
    versions_.on_registry_confirmed(at(20s));
    auto const found = versions_.version_of(versioned("1"), at(10s), at(20s));
    CHECK(found.version_ == unknown_version);
    CHECK(!found.known_from_);
}

TEST(target_versions, are_known_of_a_target_that_has_left)
{
    versions_.set_targets({}, at(10100ms));
    versions_.on_registry_confirmed(at(10100ms));
    CHECK(versions_.version_of(versioned("1"), at(10s), at(11s)).version_ ==
          digest_of_version("1"));
    versions_.set_targets({}, at(30s));
    CHECK(versions_.version_of(versioned("1"), at(10s), at(30s)).version_ ==
          unknown_version);
}

TEST(target_versions, are_unknown_where_the_entry_states_none)
{
    versions_.set_targets({versioned("")}, at(5s));
    CHECK(versions_.version_of(versioned(""), at(6s), at(20s)).version_ ==
          unknown_version);
}

TEST(target_versions, of_new_connections_are_unknown_while_the_registry_is_lost)
{
    versions_.on_registry_confirmed(at(18s));
    versions_.on_registry_lost();
    CHECK(versions_.version_of(versioned("1"), at(10s), at(25s)).version_ ==
          digest_of_version("1"));
    CHECK(versions_.version_of(versioned("1"), at(19s), at(25s)).known_from_ ==
          base::time_point::max());
    versions_.on_registry_current(at(30s));
    // Targets that restarted in the outage may not have registered yet.
    versions_.on_entry_read(base::target_id{"a"}, versioned("1"), at(31s));
    versions_.on_registry_confirmed(at(31s));
    auto const back = versions_.version_of(versioned("1"), at(19s), at(31s));
    CHECK(back.known_from_ == at(30s) + target_versions::registration_time);
    versions_.on_entry_read(base::target_id{"a"}, versioned("1"), at(32s));
    CHECK(!versions_.version_of(versioned("1"), at(19s), at(32s)).known_from_);
}

TEST_GROUP(entry_readings){};

TEST(entry_readings, one_serves_all_connections_opened_before_it)
{
    entry_readings readings;
    base::target_id const a{"a"};
    CHECK(readings.start(a, at(1s), at(2s)));
    CHECK(!readings.start(a, at(1500ms), at(2500ms)));
    CHECK(readings.start(a, at(2500ms), at(2500ms)));
    CHECK(!readings.start(a, at(2510ms), at(2510ms)));
    CHECK(readings.start(base::target_id{"b"}, at(1s), at(2s)));
}

TEST(entry_readings, a_lost_one_is_repeated)
{
    entry_readings readings;
    base::target_id const a{"a"};
    CHECK(readings.start(a, at(1s), at(2s)));
    CHECK(readings.start(a, at(1s), at(2s) + entry_readings::timeout));
}
