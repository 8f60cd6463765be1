#include "src/routing/target_outages.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

peer_ip const self{1};
peer_ip const second{2};
peer_ip const third{3};

target_info restarted(target_info info)
{
    info.incarnation_ = target_incarnation{7};
    return info;
}

} // namespace

TEST_GROUP(target_outages)
{
    target_outages table_{self};
    target_info const info_ = target("one");
    incarnation_digest const one_ = digest_of(info_);

    void setup() override
    {
        table_.set_targets({info_});
        table_.set_fleet({self, second, third});
    }

    static peer_report failed(incarnation_digest target,
                              base::duration age = 0ms)
    {
        peer_report out;
        out.failed_targets_.push_back(
            {target, static_cast<std::uint16_t>(age / 1ms)});
        return out;
    }

    static peer_report reached(incarnation_digest target,
                               base::duration age = 0ms)
    {
        peer_report out;
        out.reached_targets_.push_back(
            {target, static_cast<std::uint16_t>(age / 1ms)});
        return out;
    }

    void take_out(base::time_point now)
    {
        table_.on_connect(one_, false, now);
        table_.on_report(second, failed(one_), now);
    }
};

TEST(target_outages, need_two_witnesses)
{
    table_.on_connect(one_, false, at(0s));
    table_.on_connect(one_, false, at(100ms));
    CHECK(!table_.is_out(one_));
    table_.on_report(second, failed(one_), at(200ms));
    CHECK(table_.is_out(one_));
    CHECK(table_.advance(at(200ms)));
    CHECK(!table_.advance(at(300ms)));
    LONGS_EQUAL(1, table_.out_count());
}

TEST(target_outages, need_one_witness_in_a_fleet_of_two)
{
    table_.set_fleet({self, second});
    table_.on_report(second, failed(one_), at(0s));
    CHECK(table_.is_out(one_));
}

TEST(target_outages, do_not_follow_from_failures_far_apart)
{
    table_.on_connect(one_, false, at(0s));
    table_.on_report(second, failed(one_), at(2s));
    CHECK(!table_.is_out(one_));
}

TEST(target_outages, have_no_witness_that_is_cut_off)
{
    table_.on_connect(one_, false, at(0s));
    auto report = failed(one_);
    report.is_cut_off_ = true;
    table_.on_report(second, report, at(0s));
    CHECK(!table_.is_out(one_));
    report = failed(one_);
    report.unreachable_pools_.push_back(digest_of(info_.pool_.str()));
    table_.on_report(third, report, at(0s));
    CHECK(!table_.is_out(one_));
}

TEST(target_outages, end_when_their_witnesses_turn_out_to_be_cut_off)
{
    table_.on_report(second, failed(one_), at(0s));
    table_.on_report(third, failed(one_), at(0s));
    CHECK(table_.is_out(one_));
    peer_report cut;
    cut.is_cut_off_ = true;
    table_.on_report(second, cut, at(100ms));
    CHECK(table_.is_out(one_));
    cut.is_cut_off_ = false;
    cut.unreachable_pools_.push_back(digest_of(info_.pool_.str()));
    table_.on_report(third, cut, at(100ms));
    CHECK(!table_.is_out(one_));
}

TEST(target_outages, of_this_daemon_are_withdrawn_when_it_is_cut_off)
{
    table_.on_connect(one_, false, at(0s));
    table_.withdraw_own(digest_of(info_.pool_.str()), at(100ms));
    table_.on_report(second, failed(one_), at(200ms));
    CHECK(!table_.is_out(one_));
}

TEST(target_outages, do_not_hold_for_the_next_start_of_the_target)
{
    take_out(at(0s));
    CHECK(table_.is_out(one_));
    CHECK(!table_.is_out(digest_of(restarted(info_))));
}

TEST(target_outages, end_with_the_first_connect_of_any_daemon)
{
    take_out(at(0s));
    table_.on_report(third, reached(one_), at(500ms));
    CHECK(!table_.is_out(one_));
    CHECK(table_.advance(at(500ms)));
    take_out(at(1s));
    CHECK(table_.on_connect(one_, true, at(1200ms)));
    CHECK(!table_.is_out(one_));
}

TEST(target_outages, end_without_fresh_failures)
{
    take_out(at(0s));
    table_.on_report(third, failed(one_), at(2s));
    table_.advance(at(2s) + target_outages::evidence_time);
    CHECK(table_.is_out(one_));
    table_.advance(at(2s) + target_outages::evidence_time + 1ms);
    CHECK(!table_.is_out(one_));
    CHECK(table_.empty());
}

TEST(target_outages, are_not_prolonged_by_late_and_doubled_reports)
{
    take_out(at(0s));
    table_.on_report(third, reached(one_), at(500ms));
    // Made before the target was reached; the age covers what it repeats.
    table_.on_report(second, failed(one_, 600ms), at(600ms));
    table_.on_report(third, failed(one_, 900ms), at(700ms));
    CHECK(!table_.is_out(one_));
    table_.on_report(second, reached(one_, 100ms), at(600ms));
    CHECK(!table_.is_out(one_));
}

TEST(target_outages, wrong_verdict_ends_with_a_probe_of_this_daemon)
{
    table_.set_fleet({self});
    take_out(at(0s));
    CHECK(table_.due_probes(at(499ms)).empty());
    auto const due = table_.due_probes(at(500ms));
    LONGS_EQUAL(1, due.size());
    CHECK(due.front() == one_);
    CHECK(table_.due_probes(at(1499ms)).empty());
    LONGS_EQUAL(1, table_.due_probes(at(1500ms)).size());
    table_.on_connect(one_, true, at(1501ms));
    CHECK(!table_.is_out(one_));
    CHECK(table_.due_probes(at(9s)).empty());
}

TEST(target_outages, are_probed_by_one_daemon_at_a_time_and_in_turn)
{
    std::vector<target_outages> fleet;
    std::vector<peer_ip> const daemons{self, second, third};
    for (auto const daemon : daemons)
    {
        fleet.emplace_back(daemon);
        fleet.back().set_fleet(daemons);
        fleet.back().on_report(peer_ip{8}, failed(one_), at(0s));
        fleet.back().on_report(peer_ip{9}, failed(one_), at(0s));
    }
    std::set<std::size_t> probers;
    for (int step = 0; step < 30; ++step)
    {
        auto const now = at(500ms + step * target_outages::probe_interval);
        std::size_t probes = 0;
        for (std::size_t d = 0; d < fleet.size(); ++d)
        {
            if (!fleet[d].due_probes(now).empty())
            {
                ++probes;
                probers.insert(d);
            }
        }
        LONGS_EQUAL(1, probes);
    }
    LONGS_EQUAL(3, probers.size());
}

TEST(target_outages, are_reported_for_a_while_and_in_turn)
{
    for (std::uint64_t i = 1; i <= 40; ++i)
    {
        table_.on_connect(incarnation_digest{i}, false, at(0s));
    }
    std::set<incarnation_digest> told;
    for (std::size_t first = 0; first < 48; first += 16)
    {
        peer_report report;
        table_.add_to(report, at(300ms), first);
        LONGS_EQUAL(peer_report::max_observations,
                    report.failed_targets_.size());
        LONGS_EQUAL(300, report.failed_targets_[0].age_ms_);
        for (auto const& seen : report.failed_targets_)
        {
            told.insert(seen.target_);
        }
    }
    LONGS_EQUAL(40, told.size());
    peer_report report;
    table_.add_to(report, at(1001ms), 0);
    CHECK(!report.has_observations());
}

TEST(target_outages, reports_hold_only_what_the_daemon_saw_itself)
{
    table_.on_report(second, failed(one_), at(0s));
    peer_report report;
    table_.add_to(report, at(0s), 0);
    CHECK(!report.has_observations());
    // It tells that it reaches a target which another daemon did not.
    table_.on_connect(one_, true, at(100ms));
    table_.add_to(report, at(200ms), 0);
    LONGS_EQUAL(1, report.reached_targets_.size());
    LONGS_EQUAL(100, report.reached_targets_[0].age_ms_);
}

TEST(target_outages, leave_no_slots_at_the_target_until_it_is_back)
{
    peer_table peers;
    driver d{peers};
    d->set_fleet({self, second, third}, at(0s));
    d->set_targets({info_, target("two")});
    d->outages().on_report(second, failed(one_), at(0s));
    d->outages().on_report(third, failed(one_), at(0s));
    LONGS_EQUAL(1, d->advance_outages(at(0s)).went_out_.size());
    d.submit(1, at(0s));
    d.submit(2, at(0s));
    LONGS_EQUAL(1, d.granted_.size());
    STRCMP_EQUAL("two", d.granted_[0].target_.str().c_str());
    // The registry shows the same target again.
    d->set_targets({info_, target("two")});
    d.advance(at(100ms));
    LONGS_EQUAL(1, d.granted_.size());
    d->outages().on_report(second, reached(one_), at(200ms));
    LONGS_EQUAL(1, d->advance_outages(at(200ms)).came_back_.size());
    d.advance(at(200ms));
    LONGS_EQUAL(2, d.granted_.size());
    CHECK(d.refused_.empty());
}

TEST(target_outages, end_the_backoff_of_this_daemon_as_well)
{
    peer_table peers;
    driver d{peers};
    d->set_fleet({self, second, third}, at(0s));
    d->set_targets({info_});
    d.submit(1, at(0s));
    d->on_attempt_end({1, 1}, attempt_outcome::not_connected, at(0s));
    d->outages().on_connect(one_, false, at(0s));
    d->outages().on_report(second, failed(one_), at(0s));
    d->advance_outages(at(0s));
    d->outages().on_report(third, reached(one_), at(50ms));
    d->advance_outages(at(50ms));
    d.submit(2, at(50ms));
    LONGS_EQUAL(2, d.granted_.size());
}
