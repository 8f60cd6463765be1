#include "src/cell/timing.hpp"
#include "tests/cell/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace std::chrono_literals;

/// What happens when owners, entries and links between them fail.
TEST_GROUP(failure)
{
    cell::cluster cluster_{3, 7};
    std::size_t owner_ = cluster_.owner();
    std::size_t entry_ = (owner_ + 1) % 3;
    std::size_t other_ = (owner_ + 2) % 3;

    std::size_t decided() const
    {
        return cluster_.decisions().size();
    }

    cell::recorded_decision const& last() const
    {
        return cluster_.decisions().back();
    }

    void finish(std::size_t decision)
    {
        auto const& recorded = cluster_.decisions()[decision];
        auto const& order =
            std::get<request::dispatch_to>(recorded.decided_.decision_);
        cluster_.report(recorded.node_, recorded.decided_.request_,
                        order.target_, sched::dispatch_event::finished);
    }

    std::set<base::target_id> targets_in_use(std::size_t node)
    {
        std::set<base::target_id> targets;
        for (auto const& one : cluster_.at(node).status())
        {
            for (auto const& [target, count] : one.counts_.in_flight_by_target_)
            {
                targets.insert(target);
            }
        }
        return targets;
    }

    std::size_t in_flight(std::size_t node)
    {
        std::size_t sum = 0;
        for (auto const& one : cluster_.at(node).status())
        {
            for (auto const& [target, count] : one.counts_.in_flight_by_target_)
            {
                sum += count;
            }
        }
        return sum;
    }

    std::size_t waiting(std::size_t node)
    {
        std::size_t sum = 0;
        for (auto const& one : cluster_.at(node).status())
        {
            for (auto const count : one.counts_.waiting_by_tier_)
            {
                sum += count;
            }
        }
        return sum;
    }

    /// All four slots in use by the entry's requests.
    void fill_targets()
    {
        for (int i = 0; i < 4; ++i)
        {
            cluster_.submit(entry_);
        }
        cluster_.run_for(20ms);
        LONGS_EQUAL(4, decided());
    }

    void cut_off_owner(bool is_cut)
    {
        cluster_.cut(owner_, entry_, is_cut);
        cluster_.cut(owner_, other_, is_cut);
    }
};

TEST(failure, silent_owner_is_bridged_by_the_standing_share)
{
    cut_off_owner(true);
    cluster_.submit(entry_);
    cluster_.run_for(cell::timing::owner_silence - 10ms);
    LONGS_EQUAL(0, decided());
    cluster_.run_for(20ms);
    LONGS_EQUAL(1, decided());
    CHECK(last().decided_.by_ == cluster_.life(entry_));
    CHECK(cluster_.at(entry_).explain(last().decided_.request_)->from_share_);
}

TEST(failure, share_is_the_entrys_part_of_each_target)
{
    cut_off_owner(true);
    for (int i = 0; i < 10; ++i)
    {
        cluster_.submit(entry_);
    }
    cluster_.run_for(2s);
    // Two slots among three daemons leave one at each of two targets.
    LONGS_EQUAL(2, decided());
}

TEST(failure, lower_tier_needs_a_fresh_permission)
{
    cut_off_owner(true);
    cluster_.submit(entry_, 1);
    cluster_.run_for(10s);
    LONGS_EQUAL(0, decided());
    cluster_.submit(entry_, 0);
    cluster_.run_for(10ms);
    LONGS_EQUAL(1, decided());
    cut_off_owner(false);
    cluster_.run_for(1s);
    LONGS_EQUAL(2, decided());
    CHECK(last().decided_.by_ == cluster_.life(owner_));
}

TEST(failure, permission_outlives_its_owner_by_its_lifetime_only)
{
    fill_targets();
    cluster_.submit(entry_, 1);
    // The owner's heartbeat comes while the lower tier is not kept waiting.
    cluster_.run_for(50ms);
    cut_off_owner(true);
    cluster_.run_for(cell::timing::owner_silence + 10ms);
    LONGS_EQUAL(4, decided());
    for (std::size_t i = 0; i < 4; ++i)
    {
        finish(i);
    }
    cluster_.run_for(10ms);
    LONGS_EQUAL(5, decided());
    cluster_.submit(entry_, 1);
    cluster_.run_for(cell::timing::permission_lifetime);
    cluster_.submit(entry_, 1);
    auto const before = decided();
    cluster_.run_for(5s);
    LONGS_EQUAL(before, decided());
}

TEST(failure, new_owner_learns_what_waits_and_runs)
{
    fill_targets();
    cluster_.submit(entry_);
    cluster_.run_for(20ms);
    cluster_.crash(owner_);
    cluster_.spread_members();
    // Nothing is granted beyond what the targets can run.
    cluster_.run_for(cell::timing::settling_time + 20ms);
    auto const next = cluster_.owner(entry_);
    CHECK(next != owner_);
    LONGS_EQUAL(4, in_flight(next));
    LONGS_EQUAL(1, waiting(next));
    LONGS_EQUAL(4, decided());
    finish(0);
    cluster_.run_for(20ms);
    LONGS_EQUAL(5, decided());
    CHECK(last().decided_.by_ == cluster_.life(next));
}

TEST(failure, planned_stop_hands_the_cell_over)
{
    fill_targets();
    cluster_.submit(entry_);
    cluster_.submit(owner_);
    cluster_.run_for(20ms);
    cluster_.at(owner_).leave();
    cluster_.set_state(owner_, membership::member_state::leaving);
    cluster_.spread_members();
    cluster_.run_for(20ms);
    auto const next = cluster_.owner(entry_);
    CHECK(next != owner_);
    LONGS_EQUAL(4, in_flight(next));
    // The leaving daemon's own request goes on too.
    LONGS_EQUAL(2, waiting(next));
    LONGS_EQUAL(0, in_flight(owner_));
}

TEST(failure, restarted_owner_is_told_everything_again)
{
    fill_targets();
    cluster_.submit(entry_);
    cluster_.run_for(20ms);
    cluster_.crash(owner_);
    cluster_.restart(owner_);
    cluster_.spread_members();
    cluster_.run_for(20ms);
    LONGS_EQUAL(owner_, cluster_.owner(entry_));
    LONGS_EQUAL(4, in_flight(owner_));
    LONGS_EQUAL(1, waiting(owner_));
}

TEST(failure, dead_entrys_requests_are_dropped_and_its_runs_counted_a_while)
{
    fill_targets();
    cluster_.submit(entry_);
    cluster_.run_for(20ms);
    cluster_.crash(entry_);
    cluster_.spread_members();
    LONGS_EQUAL(0, waiting(owner_));
    LONGS_EQUAL(4, in_flight(owner_));
    cluster_.run_for(cell::timing::orphan_lifetime - 1s);
    LONGS_EQUAL(4, in_flight(owner_));
    cluster_.run_for(2s);
    LONGS_EQUAL(0, in_flight(owner_));
}

TEST(failure, entry_taken_for_dead_tells_its_requests_again)
{
    fill_targets();
    cluster_.submit(entry_);
    cluster_.run_for(20ms);
    cluster_.set_state(entry_, membership::member_state::dead);
    cluster_.spread_members();
    LONGS_EQUAL(0, waiting(owner_));
    cluster_.set_state(entry_, membership::member_state::alive);
    cluster_.spread_members();
    cluster_.run_for(cell::timing::owner_silence + 100ms);
    LONGS_EQUAL(1, waiting(owner_));
    LONGS_EQUAL(4, in_flight(owner_));
}

TEST(failure, silent_entry_holds_up_nobody)
{
    for (int i = 0; i < 20; ++i)
    {
        cluster_.submit(entry_);
    }
    cluster_.run_for(20ms);
    LONGS_EQUAL(4, decided());
    cluster_.freeze(entry_, true);
    auto const behind = cluster_.submit(other_, 1);
    cluster_.run_for(20ms);
    for (std::size_t i = 0; i < 4; ++i)
    {
        // As if the answers had come just before the entry went silent.
        auto const& granted = cluster_.decisions()[i];
        cell::request_update ended;
        ended.cell_ = cluster_.at(owner_).map().cells().begin()->first;
        ended.request_ = granted.decided_.request_;
        ended.revision_ = cell::revision{1000};
        ended.state_ = cell::request_state::ended;
        cluster_.at(owner_).on_message(cluster_.life(entry_), ended,
                                       cluster_.now());
    }
    cluster_.run_for(cell::timing::grant_lifetime + 300ms);
    LONGS_EQUAL(5, decided());
    CHECK(last().decided_.request_ == behind);
    LONGS_EQUAL(12, waiting(owner_));
    LONGS_EQUAL(1, in_flight(owner_));
}

TEST(failure, silent_entry_that_comes_back_is_served_again)
{
    for (int i = 0; i < 6; ++i)
    {
        cluster_.submit(entry_);
    }
    cluster_.run_for(0ms);
    cluster_.freeze(entry_, true);
    cluster_.run_for(cell::timing::grant_lifetime + 300ms);
    LONGS_EQUAL(0, decided());
    LONGS_EQUAL(0, in_flight(owner_));
    // It uses the grants it finds; each is booked again.
    cluster_.freeze(entry_, false);
    cluster_.run_for(100ms);
    LONGS_EQUAL(4, decided());
    LONGS_EQUAL(4, in_flight(owner_));
    LONGS_EQUAL(2, waiting(owner_));
    finish(0);
    cluster_.run_for(20ms);
    LONGS_EQUAL(5, decided());
    CHECK(last().decided_.by_ == cluster_.life(owner_));
}

TEST(failure, grant_that_arrives_too_late_is_not_used)
{
    cluster_.submit(entry_);
    // The update passes, the answer does not.
    cluster_.run_for(0ms);
    cut_off_owner(true);
    cluster_.run_for(10ms);
    LONGS_EQUAL(1, in_flight(owner_));
    cluster_.run_for(cell::timing::grant_lifetime + 500ms);
    cut_off_owner(false);
    cluster_.run_for(2s);
    LONGS_EQUAL(1, decided());
    LONGS_EQUAL(1, in_flight(owner_));
    CHECK(last().decided_.by_ == cluster_.life(entry_));
}

TEST(failure, old_grant_is_not_used_for_a_target_that_leaves_meanwhile)
{
    // Without permission for its tier the entry can only wait for the owner.
    cluster_.submit(entry_, 1);
    cluster_.run_for(0ms);
    cut_off_owner(true);
    cluster_.run_for(10ms);
    auto const granted = targets_in_use(owner_);
    LONGS_EQUAL(1, granted.size());
    cluster_.run_for(cell::timing::grant_lifetime + 2s);
    LONGS_EQUAL(0, decided());
    LONGS_EQUAL(0, in_flight(owner_));
    cluster_.read_hosts(owner_, granted);
    cut_off_owner(false);
    cluster_.run_for(1s);
    LONGS_EQUAL(1, decided());
    CHECK(targets_in_use(owner_) != granted);
}

TEST(failure, owner_that_lost_its_cell_unseen_is_told_all_again)
{
    fill_targets();
    cluster_.set_state(owner_, membership::member_state::leaving);
    cluster_.show_members(owner_);
    LONGS_EQUAL(0, in_flight(owner_));
    cluster_.set_state(owner_, membership::member_state::alive);
    cluster_.show_members(owner_);
    cluster_.submit(entry_);
    cluster_.run_for(cell::timing::settling_time);
    LONGS_EQUAL(4, in_flight(owner_));
    LONGS_EQUAL(1, waiting(owner_));
}

TEST(failure, late_copy_of_an_ended_request_is_not_queued)
{
    cluster_.submit(entry_);
    cluster_.run_for(20ms);
    finish(0);
    cluster_.run_for(20ms);
    cell::request_update late;
    late.cell_ = cluster_.at(owner_).map().cells().begin()->first;
    late.request_ = last().decided_.request_;
    late.revision_ = cell::revision{1};
    late.item_ = cluster_.item(late.request_);
    cluster_.at(owner_).on_message(cluster_.life(entry_), late, cluster_.now());
    LONGS_EQUAL(0, waiting(owner_) + in_flight(owner_));
}

TEST(failure, what_the_entry_does_not_hold_is_found_by_asking)
{
    // A datagram so late that nothing of its request is remembered.
    cell::request_update late;
    late.cell_ = cluster_.at(owner_).map().cells().begin()->first;
    late.request_ = {cluster_.life(entry_).origin_, 77};
    late.revision_ = cell::revision{1};
    late.state_ = cell::request_state::running;
    late.target_ = base::target_id{"r0"};
    late.item_.emplace();
    late.item_->request_ = late.request_;
    cluster_.at(owner_).on_message(cluster_.life(entry_), late, cluster_.now());
    cluster_.run_for(cell::timing::query_interval - 1s);
    LONGS_EQUAL(1, in_flight(owner_));
    cluster_.run_for(2s);
    LONGS_EQUAL(0, in_flight(owner_));
}

TEST(failure, isolated_daemon_refuses_new_work_after_the_stated_time)
{
    for (auto const node : {owner_, other_})
    {
        cluster_.set_state(node, membership::member_state::dead);
    }
    cluster_.spread_members();
    auto& lonely = cluster_.at(entry_);
    lonely.set_store_reachable(false, cluster_.now());
    cluster_.run_for(cell::timing::isolation_delay - 1ms);
    CHECK_FALSE(lonely.is_isolated(cluster_.now()));
    cluster_.run_for(1ms);
    cluster_.submit(entry_);
    auto const* refused =
        std::get_if<request::refuse>(&last().decided_.decision_);
    CHECK(refused != nullptr &&
          refused->cause_ == sched::refusal_cause::isolated);
    lonely.set_store_reachable(true, cluster_.now());
    CHECK_FALSE(lonely.is_isolated(cluster_.now()));
}

TEST(failure, planned_stops_do_not_make_a_daemon_isolated)
{
    for (auto const node : {owner_, other_})
    {
        cluster_.set_state(node, membership::member_state::leaving);
        cluster_.spread_members();
        cluster_.set_state(node, membership::member_state::dead);
        cluster_.spread_members();
    }
    cluster_.at(entry_).set_store_reachable(false, cluster_.now());
    cluster_.run_for(1min);
    CHECK_FALSE(cluster_.at(entry_).is_isolated(cluster_.now()));
}

TEST(failure, unknown_sender_has_no_say)
{
    cell::request_update update;
    update.cell_ = cluster_.at(owner_).map().cells().begin()->first;
    update.request_ = {999, 1};
    update.revision_ = cell::revision{1};
    update.item_.emplace();
    update.item_->request_ = update.request_;
    cell::daemon_life const stranger{base::daemon_id{"d9"}, 999};
    cluster_.at(owner_).on_message(stranger, update, cluster_.now());
    // Nor may a member speak for another's request.
    cluster_.at(owner_).on_message(cluster_.life(entry_), update,
                                   cluster_.now());
    cluster_.run_for(1s);
    LONGS_EQUAL(0, in_flight(owner_) + waiting(owner_));
}
