#include "src/routing/origin_archive.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

base::pool_id const pool{"llm"};

target_info target_of(std::string const& id, std::string const& version)
{
    auto out = target(id);
    out.version_ = base::software_version{version};
    return out;
}

stream_origin origin(std::uint64_t attempt)
{
    return {attempt_digest{attempt}, version_digest{7}};
}

} // namespace

TEST_GROUP(origin_archive)
{
    origin_archive archive_;

    void show(std::vector<std::string> const& versions, base::duration when)
    {
        std::vector<target_info> targets;
        for (auto const& version : versions)
        {
            targets.push_back(target_of("t" + version, version));
        }
        archive_.set_targets(targets, at(when));
    }

    std::size_t written(base::duration when)
    {
        std::size_t count = 0;
        for (auto const& message : archive_.take_due(at(when)))
        {
            CHECK(message.origins_.size() <= stream_message::max_items);
            count += message.origins_.size();
        }
        return count;
    }
};

TEST(origin_archive, writes_nothing_while_a_pool_has_one_version)
{
    show({"1"}, 0s);
    archive_.on_begun(pool, origin(1), at(1s));
    CHECK(archive_.next_wakeup() == base::time_point::max());
    LONGS_EQUAL(0, written(1h));
}

TEST(origin_archive, writes_batches_while_a_pool_has_two_versions)
{
    show({"1", "2"}, 0s);
    for (std::uint64_t i = 0; i < stream_message::max_items + 1; ++i)
    {
        archive_.on_begun(pool, origin(i), at(1s));
    }
    CHECK(archive_.next_wakeup() == at(1s + origin_archive::min_interval));
    LONGS_EQUAL(0, written(1s));
    LONGS_EQUAL(stream_message::max_items + 1,
                written(1s + origin_archive::min_interval));
    LONGS_EQUAL(0, written(2s));
}

TEST(origin_archive, writes_what_began_before_the_second_version_came)
{
    show({"1"}, 0s);
    archive_.on_begun(pool, origin(1), at(10s));
    archive_.on_begun(pool, origin(2), at(10s + origin_archive::retention));
    archive_.on_begun(pool, origin(3),
                      at(10s + origin_archive::retention + 1ms));
    show({"1", "2"}, 31s);
    LONGS_EQUAL(2, written(32s));
}

// A registry without changes is not announced again.
TEST(origin_archive, writes_as_long_as_two_versions_serve)
{
    show({"1", "2"}, 0s);
    archive_.on_begun(pool, origin(1), at(1h));
    LONGS_EQUAL(1, written(1h + origin_archive::min_interval));
    show({"2"}, 2h);
    archive_.on_begun(pool, origin(2), at(2h + 1s));
    LONGS_EQUAL(1, written(2h + 2s));
}

// The streams of the old version may still be taken up.
TEST(origin_archive, goes_on_for_a_while_after_a_version_has_left)
{
    show({"1", "2"}, 0s);
    show({"2"}, 1s);
    archive_.on_begun(pool, origin(1), at(19s));
    LONGS_EQUAL(1, written(20s));
    show({"2"}, 21s);
    archive_.on_begun(pool, origin(2), at(22s));
    LONGS_EQUAL(0, written(30s));
}

TEST(origin_archive, a_version_that_is_not_known_is_not_written)
{
    show({"1", "2"}, 0s);
    archive_.on_begun(pool, {attempt_digest{1}, unknown_version}, at(1s));
    LONGS_EQUAL(0, written(2s));
}

// The store takes some hundred writes a second from all daemons together.
TEST(origin_archive, all_daemons_together_write_at_a_bounded_rate)
{
    for (auto const daemons : {1, 7, 75, 295})
    {
        origin_archive archive;
        archive.set_fleet_size(static_cast<std::size_t>(daemons));
        archive.set_targets({target_of("a", "1"), target_of("b", "2")}, at(0s));
        int batches = 0;
        for (auto now = 0ms; now < 10s; now += 5ms)
        {
            archive.on_begun(pool, origin(1), at(now));
            batches += archive.take_due(at(now)).empty() ? 0 : 1;
        }
        CHECK(batches > 0);
        CHECK(batches * daemons <= 50 * 10 + daemons);
    }
}

// A split route, or one that has just moved, hides the version of its streams.
TEST(origin_archive, keeps_origins_of_pools_that_share_a_route)
{
    show({"1"}, 0s);
    archive_.on_begun(pool, origin(1), at(1s));
    LONGS_EQUAL(0, written(2s));
    auto const version = digest_of(pool, base::software_version{"1"});
    archive_.set_ambiguous({version}, at(2s));
    CHECK(archive_.keeps(pool, at(2s)));
    LONGS_EQUAL(1, written(3s));
    archive_.set_ambiguous({}, at(3s));
    CHECK(!archive_.keeps(pool, at(3s)));
}

TEST(origin_archive, knows_versions_that_serve_alone)
{
    auto const version = digest_of(pool, base::software_version{"1"});
    CHECK(!archive_.serves_alone(version, at(0s)));
    show({"1"}, 0s);
    CHECK(archive_.serves_alone(version, at(0s)));
    show({"1", "2"}, 1s);
    CHECK(!archive_.serves_alone(version, at(1s)));
    show({"1"}, 2s);
    CHECK(!archive_.serves_alone(version, at(3s)));
    CHECK(archive_.serves_alone(version, at(3s + origin_archive::retention)));
    show({}, 60s);
    CHECK(!archive_.serves_alone(version, at(100s)));
}

TEST(origin_archive, names_what_makes_a_version_uncertain)
{
    auto const version = digest_of(pool, base::software_version{"1"});
    CHECK(archive_.find_gap(version, at(0s)) == origin_gap::version_absent);
    show({"1"}, 0s);
    CHECK(archive_.find_gap(version, at(0s)) == origin_gap::none);
    show({"1", "2"}, 1s);
    CHECK(archive_.find_gap(version, at(1s)) == origin_gap::version_shared);
    show({"1"}, 2s);
    CHECK(archive_.find_gap(version, at(3s)) == origin_gap::version_left);
}
