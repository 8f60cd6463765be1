#include "src/routing/store_follower.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

TEST_GROUP(store_follower)
{
    store_follower follower_{700ms, 1};

    store_call only_call(base::time_point now)
    {
        auto const calls = follower_.advance(now);
        LONGS_EQUAL(1, calls.size());
        return calls.front();
    }

    /// Lists at revision 7 and returns the watch that follows.
    store_call follow()
    {
        follower_.start(at(0s));
        auto const listing = only_call(at(0s));
        follower_.on_listed(listing.id_, store_revision{7}, store_revision{5},
                            at(0s));
        return only_call(at(0s));
    }
};

TEST(store_follower, gives_up_a_watch_without_an_answer)
{
    auto const watch = follow();
    auto const due = at(watch.wait_ + store_follower::watch_margin);
    CHECK(follower_.advance(due - 1ms).empty());
    CHECK(follower_.next_wakeup() == due);
    CHECK(only_call(due).kind_ == store_call::kind::list);
    CHECK(follower_.current_gap() == store_follower::gap::watch_overdue);
    CHECK(!follower_.is_wanted(watch.id_));
}

TEST(store_follower, does_not_wait_for_a_hanging_attempt)
{
    follower_.start(at(0s));
    auto const hanging = only_call(at(0s));
    auto const second = only_call(at(600ms));
    CHECK(follower_.is_wanted(hanging.id_));
    follower_.on_listed(second.id_, store_revision{7}, store_revision{5},
                        at(604ms));
    CHECK(!follower_.is_wanted(hanging.id_));
}

TEST(store_follower, lists_when_a_peer_has_a_change_that_its_watch_hides)
{
    auto const watch = follow();
    follower_.on_peer_revision(store_revision{9}, at(100ms));
    CHECK(follower_.advance(at(249ms)).empty());
    CHECK(only_call(at(250ms)).kind_ == store_call::kind::list);
    CHECK(follower_.current_gap() == store_follower::gap::behind_peers);
    CHECK(!follower_.is_wanted(watch.id_));
}

TEST(store_follower, does_not_list_when_its_own_watch_has_the_change_as_well)
{
    auto const watch = follow();
    follower_.on_peer_revision(store_revision{9}, at(100ms));
    follower_.on_changes(watch.id_, store_revision{9}, store_revision{9},
                         at(110ms));
    CHECK(follower_.advance(at(300ms)).empty());
    CHECK(only_call(at(810ms)).kind_ == store_call::kind::watch);
    CHECK(!follower_.is_lost());
}

TEST(store_follower, a_revision_beyond_a_fresh_listing_is_ignored)
{
    follow();
    follower_.on_peer_revision(store_revision{1000}, at(100ms));
    auto const listing = only_call(at(250ms));
    follower_.on_listed(listing.id_, store_revision{8}, store_revision{5},
                        at(260ms));
    auto const watch = only_call(at(260ms));
    CHECK(follower_.next_wakeup() ==
          at(260ms) + watch.wait_ + store_follower::watch_margin);
}

TEST(store_follower, watches_of_a_fleet_end_in_turn)
{
    for (std::size_t const count : {1U, 7U, 75U, 295U})
    {
        std::vector<base::duration> ends;
        base::duration cycle{};
        for (std::size_t i = 0; i < count; ++i)
        {
            store_follower one{700ms, i};
            one.set_position({i, count});
            one.start(at(0s));
            auto const listing = one.advance(at(0s)).front();
            one.on_listed(listing.id_, store_revision{7}, store_revision{5},
                          at(0s));
            auto const first = one.advance(at(0s)).front();
            ends.push_back(first.wait_);
            one.on_changes(first.id_, store_revision{7}, std::nullopt,
                           at(first.wait_));
            cycle = one.advance(at(first.wait_)).front().wait_;
        }
        std::sort(ends.begin(), ends.end());
        CHECK(ends.front() <= store_follower::max_turn);
        CHECK(ends.back() == cycle);
        CHECK(cycle <= store_follower::max_watch_time);
        for (std::size_t i = 1; i < count; ++i)
        {
            CHECK(ends[i] - ends[i - 1] <= store_follower::max_turn);
        }
    }
}

TEST(store_follower, an_isolated_daemon_has_short_watches)
{
    follower_.set_position({5, 75});
    follow();
    follower_.set_position({0, 1});
    auto const listing =
        only_call(at(store_follower::max_turn + store_follower::watch_margin));
    CHECK(listing.kind_ == store_call::kind::list);
}

TEST(store_follower, a_watch_whose_answer_arrives_is_not_overdue)
{
    auto const watch = follow();
    auto const due = at(watch.wait_ + store_follower::watch_margin);
    for (auto now = due - 100ms; now < due + 5s; now += 100ms)
    {
        follower_.on_progress(watch.id_, now);
        CHECK(follower_.advance(now).empty());
    }
    follower_.on_peer_revision(store_revision{9}, due + 5s);
    CHECK(follower_.advance(due + 5200ms).empty());
    CHECK(follower_.is_wanted(watch.id_));
    CHECK(!follower_.is_lost());
    CHECK(only_call(due + 6200ms).kind_ == store_call::kind::list);
}

TEST(store_follower, no_attempt_competes_with_a_listing_that_arrives)
{
    follower_.start(at(0s));
    auto const listing = only_call(at(0s));
    for (auto now = at(300ms); now < at(5s); now += 100ms)
    {
        follower_.on_progress(listing.id_, now);
        follower_.retry_now(now);
        CHECK(follower_.advance(now).empty());
    }
    CHECK(only_call(at(6100ms)).kind_ == store_call::kind::list);
}

TEST(store_follower, a_listing_that_fails_while_it_arrives_is_retried_soon)
{
    follower_.start(at(0s));
    auto const listing = only_call(at(0s));
    follower_.on_progress(listing.id_, at(300ms));
    follower_.on_failure(listing.id_, at(400ms));
    follower_.retry_now(at(410ms));
    CHECK(only_call(at(410ms)).kind_ == store_call::kind::list);
}
