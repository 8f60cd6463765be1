#include "src/routing/stream_starts.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;
using namespace std::chrono_literals;

namespace
{

constexpr version_digest first{1};
constexpr version_digest second{2};

stream_start start_of(char const* prefix, version_digest version = first,
                      char const* host = "h")
{
    return {host, prefix, version};
}

bool is_sole(std::vector<stream_start> const& starts,
             std::optional<version_digest> expected)
{
    return sole_version(starts, "h", "/a/b/request") == expected;
}

} // namespace

TEST_GROUP(stream_starts)
{
    stream_starts starts_;

    /// Keeps what is due at `when`; the number of starts, or none.
    std::optional<std::size_t> keep(base::duration when)
    {
        auto const due = starts_.take_due(at(when));
        if (!due)
        {
            return std::nullopt;
        }
        starts_.on_kept(due->revision_);
        return due->list_.starts_.size();
    }
};

TEST(stream_starts, a_version_is_inferred_only_without_another_candidate)
{
    CHECK(is_sole({}, std::nullopt));
    CHECK(is_sole({start_of("/a/")}, first));
    CHECK(is_sole({start_of("/a/"), start_of("/a/")}, first));
    CHECK(is_sole({start_of("/a/"), start_of("/c/", second)}, first));
    CHECK(is_sole({start_of("/a/"), start_of("/a/", second, "g")}, first));
    CHECK(is_sole({start_of("/a/"), start_of("/a/", second)}, std::nullopt));
}

TEST(stream_starts, what_keeps_a_version_from_being_inferred_is_named)
{
    auto const gap = [](std::vector<stream_start> const& starts)
    {
        return std::string{name_of(gap_of(starts, "h", "/a/b/request"))};
    };
    STRCMP_EQUAL("no_start", gap({}).c_str());
    STRCMP_EQUAL("no_start", gap({start_of("/c/")}).c_str());
    STRCMP_EQUAL("none", gap({start_of("/a/")}).c_str());
    STRCMP_EQUAL("several_versions",
                 gap({start_of("/a/"), start_of("/a/", second)}).c_str());
}

// The route of the path may have been split off since the stream began.
TEST(stream_starts, routes_with_a_shorter_prefix_are_candidates)
{
    CHECK(is_sole({start_of("/a/"), start_of("/a/b/", second)}, std::nullopt));
    CHECK(is_sole({start_of("/", second)}, second));
    CHECK(is_sole({start_of("/a/b/request/more/", second)}, std::nullopt));
}

TEST(stream_starts, the_first_stream_waits_until_its_start_is_kept)
{
    CHECK(!starts_.may_begin(start_of("/a/"), at(0ms)));
    auto const due = starts_.take_due(at(0ms));
    CHECK(!starts_.may_begin(start_of("/a/"), at(5ms)));
    CHECK(!starts_.may_begin(start_of("/a/", second), at(6ms)));
    starts_.on_kept(due->revision_);
    CHECK(starts_.may_begin(start_of("/a/"), at(7ms)));
    CHECK(!starts_.may_begin(start_of("/a/", second), at(8ms)));
    CHECK(keep(9ms) == 2U);
    CHECK(starts_.may_begin(start_of("/a/", second), at(10ms)));
    LONGS_EQUAL(0, starts_.late_count());
}

TEST(stream_starts, streams_begin_although_the_store_is_away)
{
    CHECK(!starts_.may_begin(start_of("/a/"), at(0ms)));
    CHECK(!starts_.may_begin(start_of("/a/"), at(299ms)));
    CHECK(starts_.may_begin(start_of("/a/"), at(300ms)));
    CHECK(starts_.may_begin(start_of("/a/"), at(301ms)));
    LONGS_EQUAL(1, starts_.late_count());
}

TEST(stream_starts, are_written_once)
{
    starts_.may_begin(start_of("/a/"), at(0ms));
    CHECK(starts_.next_wakeup() <= at(0ms));
    CHECK(keep(0ms) == 1U);
    for (auto when = 0s; when < 600s; when += 1s)
    {
        starts_.may_begin(start_of("/a/"), at(when));
        CHECK(!keep(when));
    }
    CHECK(starts_.next_wakeup() == base::time_point::max());
}

TEST(stream_starts, the_version_before_is_dropped_after_its_last_stream)
{
    starts_.may_begin(start_of("/a/"), at(0ms));
    keep(0ms);
    starts_.may_begin(start_of("/a/", second), at(1s));
    CHECK(keep(1s) == 2U);
    CHECK(starts_.ambiguous().contains(first));
    CHECK(starts_.ambiguous().contains(second));
    std::optional<base::duration> dropped_at;
    for (auto when = 2s; when < 60s && !dropped_at; when += 1s)
    {
        starts_.may_begin(start_of("/a/", second), at(when));
        if (keep(when) == 1U)
        {
            dropped_at = when;
        }
    }
    CHECK(dropped_at >= stream_starts::retention);
    CHECK(dropped_at <= stream_starts::retention + 3s);
    CHECK(starts_.ambiguous().empty());
}

TEST(stream_starts, only_routes_whose_paths_overlap_are_ambiguous)
{
    starts_.may_begin(start_of("/a/"), at(0ms));
    starts_.may_begin(start_of("/c/", second), at(0ms));
    starts_.may_begin(start_of("/a/", second, "g"), at(0ms));
    CHECK(starts_.ambiguous().empty());
    starts_.may_begin(start_of("/a/b/", version_digest{3}), at(0ms));
    LONGS_EQUAL(2, starts_.ambiguous().size());
    CHECK(!starts_.ambiguous().contains(second));
}

TEST(stream_starts, a_list_that_is_too_long_says_so)
{
    for (std::size_t i = 0; i <= stream_start_list::max_items; ++i)
    {
        starts_.may_begin(start_of(("/" + std::to_string(i) + "/").c_str()),
                          at(0ms));
    }
    CHECK(!starts_.take_due(at(0ms))->list_.is_complete_);
}
