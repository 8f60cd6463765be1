#include "tests/sched/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace tanagerlead;
using namespace tanagerlead::sched;
using namespace tanagerlead::sched::testing;

namespace
{

constexpr char const* policies[] = {"tanagerlead", "fifo_round_robin",
                                    "least_outstanding"};

std::unique_ptr<cell_scheduler> configured(char const* policy,
                                           cell_settings const& settings)
{
    auto s = make_scheduler(policy);
    s->configure(settings);
    return s;
}

} // namespace

TEST_GROUP(scheduler){};

TEST(scheduler, an_unknown_policy_is_null)
{
    CHECK(make_scheduler("other") == nullptr);
}

TEST(scheduler, every_policy_grants_and_accounts)
{
    for (auto const* policy : policies)
    {
        auto s = configured(policy, cell(2, 1));
        s->enqueue(item(1, "a", 0), at(0s));
        s->enqueue(item(1, "a", 0), at(0s));
        LONGS_EQUAL(1, s->waiting());
        auto const first = advance(*s, at(0s));
        LONGS_EQUAL(1, first.grants_.size());
        LONGS_EQUAL(0, s->waiting());
        LONGS_EQUAL(1, s->in_flight());
        s->enqueue(item(1, "a", 0), at(1ms));
        CHECK(advance(*s, at(1ms)).grants_.empty());
        s->report(report(first.grants_[0], dispatch_event::finished), at(1s));
        LONGS_EQUAL(0, s->in_flight());
    }
}

TEST(scheduler, limits_hold_unless_the_policy_has_none)
{
    std::map<std::string, std::size_t> const expected{
        {"tanagerlead", 6}, {"fifo_round_robin", 10}, {"least_outstanding", 6}};
    for (auto const& [policy, count] : expected)
    {
        auto s = configured(policy.c_str(), cell(3, 2));
        for (int i = 0; i < 10; ++i)
        {
            s->enqueue(item(i, "a", 0), at(0s));
        }
        LONGS_EQUAL(count, advance(*s, at(0s)).grants_.size());
        LONGS_EQUAL(10 - count, s->waiting());
    }
}

TEST(scheduler, a_small_share_allows_at_least_one_request)
{
    auto settings = cell(4, 2);
    settings.share_ = 0.25;
    auto s = configured("tanagerlead", settings);
    for (int i = 0; i < 10; ++i)
    {
        s->enqueue(item(i, "a", 0), at(0s));
    }
    LONGS_EQUAL(2, advance(*s, at(0s)).grants_.size());
    settings.share_ = 0.01;
    s = configured("tanagerlead", settings);
    s->enqueue(item(1, "a", 0), at(0s));
    s->enqueue(item(2, "a", 0), at(0s));
    LONGS_EQUAL(1, advance(*s, at(0s)).grants_.size());
}

TEST(scheduler, a_withdrawn_request_is_never_decided)
{
    auto s = configured("tanagerlead", cell(1, 1));
    s->enqueue(item(1, "a", 0), at(0s));
    s->withdraw({1, 1}, at(0s));
    auto const d = advance(*s, at(0s));
    CHECK(d.grants_.empty() && d.refusals_.empty());
    LONGS_EQUAL(0, s->waiting());
}

TEST(scheduler, leaving_and_draining_targets_get_nothing_new)
{
    auto settings = cell(2, 4);
    settings.targets_[0].draining_ = true;
    auto s = configured("tanagerlead", settings);
    s->set_leaving(base::target_id{"t1"}, true, at(0s));
    s->enqueue(item(1, "a", 0), at(0s));
    auto const refused = advance(*s, at(0s));
    CHECK(refused.grants_.empty());
    CHECK(refused.refusals_.at(0).cause_ == refusal_cause::no_target);
    s->set_leaving(base::target_id{"t1"}, false, at(1s));
    s->enqueue(item(2, "a", 0), at(1s));
    STRCMP_EQUAL("t1", advance(*s, at(1s)).grants_.at(0).target_.str().c_str());
}

TEST(scheduler, waiting_requests_are_refused_when_the_last_target_leaves)
{
    auto s = configured("tanagerlead", cell(1, 1));
    s->enqueue(item(1, "a", 0), at(0s));
    s->enqueue(item(2, "a", 0), at(0s));
    LONGS_EQUAL(1, advance(*s, at(0s)).grants_.size());
    s->set_leaving(base::target_id{"t0"}, true, at(1s));
    auto const d = advance(*s, at(1s));
    LONGS_EQUAL(1, d.refusals_.size());
    CHECK(d.refusals_[0].cause_ == refusal_cause::no_target);
    CHECK(d.refusals_[0].retry_after_ > 0s);
    LONGS_EQUAL(1, s->in_flight());
}

TEST(scheduler, adopted_work_counts_against_the_limit)
{
    auto s = configured("tanagerlead", cell(1, 1));
    s->adopt(item(1, "a", 0), base::target_id{"t0"}, at(0s));
    s->enqueue(item(2, "a", 0), at(0s));
    CHECK(advance(*s, at(0s)).grants_.empty());
    s->report(
        report({{1, 1}, {}, base::target_id{"t0"}}, dispatch_event::finished),
        at(1s));
    LONGS_EQUAL(1, advance(*s, at(1s)).grants_.size());
}

TEST(scheduler, a_dead_target_gets_one_probe_after_a_pause)
{
    auto s = configured("tanagerlead", cell(1, 4));
    s->enqueue(item(1, "a", 0), at(0s));
    auto const g = advance(*s, at(0s)).grants_.at(0);
    s->report(report(g, dispatch_event::not_sent), at(1ms));
    s->enqueue(item(1, "a", 0), at(1ms));
    s->enqueue(item(2, "a", 0), at(1ms));
    CHECK(advance(*s, at(1ms)).grants_.empty());
    auto const probe_time = s->next_wakeup();
    CHECK(probe_time > at(1ms) && probe_time < at(5s));
    auto const probe = advance(*s, probe_time).grants_;
    LONGS_EQUAL(1, probe.size());
    s->report(report(probe[0], dispatch_event::first_token), probe_time + 1ms);
    LONGS_EQUAL(1, advance(*s, probe_time + 1ms).grants_.size());
}

TEST(scheduler, refuses_at_the_deadline_and_the_maximum_wait)
{
    auto s = configured("tanagerlead", cell(1, 1));
    s->enqueue(item(1, "a", 0), at(0s));
    advance(*s, at(0s));
    s->enqueue(item(2, "a", 0), at(0s));
    auto with_deadline = item(3, "a", 0);
    with_deadline.deadline_ = at(10s);
    s->enqueue(with_deadline, at(0s));
    auto const first = advance(*s, at(10s)).refusals_;
    LONGS_EQUAL(1, first.size());
    CHECK(first[0].cause_ == refusal_cause::deadline);
    CHECK(s->next_wakeup() <= at(30s));
    auto const second = advance(*s, at(30s)).refusals_;
    LONGS_EQUAL(1, second.size());
    CHECK(second[0].cause_ == refusal_cause::overloaded);
    CHECK(s->next_wakeup() == base::time_point::max());
}

TEST(scheduler, a_workspace_limit_refuses_requests_beyond_it)
{
    auto settings = cell(1, 1);
    config::workspace_config w;
    w.id_ = base::workspace_id{"a"};
    w.most_waiting_ = 2;
    settings.workspaces_.push_back(w);
    auto s = configured("tanagerlead", settings);
    for (int i = 0; i < 3; ++i)
    {
        s->enqueue(item(i, "a", 0), at(0s));
        s->enqueue(item(10 + i, "b", 0), at(0s));
    }
    auto const d = advance(*s, at(0s));
    LONGS_EQUAL(1, d.refusals_.size());
    CHECK(d.refusals_[0].cause_ == refusal_cause::workspace_limit);
    LONGS_EQUAL(4, s->waiting());
}

TEST(scheduler, tiers_that_are_not_permitted_wait)
{
    auto s = configured("tanagerlead", cell(1, 4));
    s->permit_down_to(base::tier{0}, at(0s));
    s->enqueue(item(1, "a", 1), at(0s));
    s->enqueue(item(2, "a", 0), at(0s));
    LONGS_EQUAL(1, advance(*s, at(0s)).grants_.size());
    s->permit_down_to(base::tier{2}, at(1s));
    LONGS_EQUAL(1, advance(*s, at(1s)).grants_.size());
}

TEST(scheduler, a_new_configuration_keeps_waiting_and_running_requests)
{
    auto s = configured("tanagerlead", cell(1, 1));
    s->enqueue(item(1, "a", 0), at(0s));
    s->enqueue(item(2, "a", 0), at(0s));
    advance(*s, at(0s));
    s->configure(cell(2, 1));
    LONGS_EQUAL(1, s->waiting());
    LONGS_EQUAL(1, s->in_flight());
    STRCMP_EQUAL("t1", advance(*s, at(1s)).grants_.at(0).target_.str().c_str());
}

TEST(scheduler, copies_of_a_suspect_run_one_at_a_time)
{
    auto s = configured("tanagerlead", cell(3, 4));
    auto const copy = [](std::uint64_t number)
    {
        auto i = item(number, "a", 0);
        i.fingerprint_ = 77;
        return i;
    };
    s->enqueue(copy(1), at(0s));
    auto const first = advance(*s, at(0s)).grants_.at(0);
    s->report(report(first, dispatch_event::target_lost), at(1s));
    s->enqueue(copy(2), at(1s));
    s->enqueue(copy(3), at(1s));
    s->enqueue(item(4, "b", 0), at(1s));
    auto const next = advance(*s, at(1s)).grants_;
    LONGS_EQUAL(2, next.size());
    LONGS_EQUAL(1, s->waiting());
    for (auto const& g : next)
    {
        s->report(report(g, dispatch_event::finished), at(2s));
    }
    LONGS_EQUAL(1, advance(*s, at(2s)).grants_.size());
}
