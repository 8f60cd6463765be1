#include "tests/cell/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace std::chrono_literals;

namespace
{
base::target_id target_of(cell::recorded_decision const& recorded)
{
    auto const* order =
        std::get_if<request::dispatch_to>(&recorded.decided_.decision_);
    return order == nullptr ? base::target_id{} : order->target_;
}

sched::refusal_cause cause_of(cell::recorded_decision const& recorded)
{
    return std::get<request::refuse>(recorded.decided_.decision_).cause_;
}
} // namespace

TEST_GROUP(coordinator)
{
    cell::cluster cluster_{3, 1};
    std::size_t owner_ = cluster_.owner();
    std::size_t entry_ = (owner_ + 1) % 3;

    std::size_t in_flight_at_owner()
    {
        std::size_t sum = 0;
        for (auto const& one : cluster_.at(owner_).status())
        {
            for (auto const& [target, count] : one.counts_.in_flight_by_target_)
            {
                sum += count;
            }
        }
        return sum;
    }

    void finish(cell::recorded_decision const& recorded)
    {
        cluster_.report(recorded.node_, recorded.decided_.request_,
                        target_of(recorded), sched::dispatch_event::finished);
    }
};

TEST(coordinator, own_request_is_granted_without_a_message)
{
    cluster_.submit(owner_);
    LONGS_EQUAL(1, cluster_.decisions().size());
    CHECK_FALSE(target_of(cluster_.decisions()[0]).empty());
    LONGS_EQUAL(0, cluster_.datagrams());
}

TEST(coordinator, entry_gets_its_grant_from_the_owner)
{
    cluster_.submit(entry_);
    cluster_.run_for(10ms);
    LONGS_EQUAL(1, cluster_.decisions().size());
    auto const& first = cluster_.decisions()[0];
    CHECK_FALSE(target_of(first).empty());
    CHECK(first.decided_.by_ == cluster_.life(owner_));
    LONGS_EQUAL(1, in_flight_at_owner());
}

TEST(coordinator, finished_requests_make_room_for_waiting_ones)
{
    for (int i = 0; i < 5; ++i)
    {
        cluster_.submit(entry_);
    }
    cluster_.run_for(10ms);
    LONGS_EQUAL(4, cluster_.decisions().size());
    finish(cluster_.decisions()[0]);
    cluster_.run_for(10ms);
    LONGS_EQUAL(5, cluster_.decisions().size());
    for (std::size_t i = 1; i < 5; ++i)
    {
        finish(cluster_.decisions()[i]);
    }
    cluster_.run_for(10ms);
    LONGS_EQUAL(0, in_flight_at_owner());
}

TEST(coordinator, withdrawn_request_is_not_decided)
{
    for (int i = 0; i < 4; ++i)
    {
        cluster_.submit(entry_);
    }
    cluster_.run_for(10ms);
    auto const waiting = cluster_.submit(entry_);
    cluster_.run_for(10ms);
    cluster_.withdraw(entry_, waiting);
    cluster_.run_for(10ms);
    finish(cluster_.decisions()[0]);
    cluster_.run_for(1s);
    LONGS_EQUAL(4, cluster_.decisions().size());
    LONGS_EQUAL(3, in_flight_at_owner());
}

TEST(coordinator, request_withdrawn_after_its_grant_frees_the_target)
{
    auto const request = cluster_.submit(entry_);
    cluster_.run_for(10ms);
    cluster_.withdraw(entry_, request);
    cluster_.run_for(10ms);
    LONGS_EQUAL(0, in_flight_at_owner());
}

TEST(coordinator, resubmitted_request_is_granted_again)
{
    auto const request = cluster_.submit(entry_);
    cluster_.run_for(10ms);
    auto const target = target_of(cluster_.decisions()[0]);
    cluster_.report(entry_, request, target, sched::dispatch_event::not_sent);
    cluster_.resubmit(entry_, request);
    cluster_.run_for(10ms);
    LONGS_EQUAL(2, cluster_.decisions().size());
    LONGS_EQUAL(1, in_flight_at_owner());
}

TEST(coordinator, higher_tier_spills_to_the_cell_where_only_lower_ones_wait)
{
    // Two cells, one slot a target, all of it for one workspace.
    cluster_.set_config(cell::small_configuration(17, 1));
    cluster_.run_for(1s);
    auto const cells = cluster_.at(0).map().cells().size();
    LONGS_EQUAL(2, cells);
    auto const cell_of = [this](base::request_id request)
    {
        return cluster_.at(entry_).explain(request)->cell_;
    };
    auto const first = cell_of(cluster_.submit(entry_, 0));
    auto spilled = first;
    for (int i = 0; i < 40 && spilled == first; ++i)
    {
        spilled = cell_of(cluster_.submit(entry_, 0));
        cluster_.run_for(10ms);
    }
    CHECK(spilled != first);
    for (int i = 0; i < 40; ++i)
    {
        cluster_.submit(entry_, 1);
    }
    cluster_.run_for(1s);
    // Lower tiers wait in both by now and make no difference to the higher.
    auto const status = cluster_.at(entry_).explain(cluster_.submit(entry_, 0));
    CHECK(status->waiting_ahead_ <= 10);
}

TEST(coordinator, pool_without_targets_is_refused)
{
    cluster_.set_config(cell::small_configuration(0, 1));
    cluster_.submit(0);
    LONGS_EQUAL(1, cluster_.decisions().size());
    CHECK(cause_of(cluster_.decisions()[0]) == sched::refusal_cause::no_target);
}

TEST(coordinator, leaving_daemon_refuses_new_work)
{
    cluster_.at(0).leave();
    cluster_.submit(0);
    CHECK(cause_of(cluster_.decisions()[0]) == sched::refusal_cause::draining);
}

TEST(coordinator, explains_what_was_decided)
{
    auto const request = cluster_.submit(entry_);
    cluster_.run_for(10ms);
    auto const* trace = cluster_.at(entry_).explain(request);
    CHECK(trace != nullptr && trace->decided_at_.has_value() &&
          trace->decided_by_ == cluster_.life(owner_).daemon_ &&
          !trace->from_share_);
}
