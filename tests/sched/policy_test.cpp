#include "tests/sched/virtual_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace tanagerlead;
using namespace tanagerlead::sched;
using namespace tanagerlead::sched::testing;

namespace
{

/// Requests of one kind that arrive evenly spaced, with seeded jitter. An
/// answer has up to twice `output_` tokens.
struct arrival_pattern
{
    std::string workspace_;
    int tier_ = 0;
    double per_second_ = 1;
    double seconds_ = 10;
    base::token_count prompt_ = 100;
    base::token_count output_ = 100;
};

class workload_driver
{
public:
    explicit workload_driver(virtual_cell& cell) : cell_{cell} {}

    void add(arrival_pattern const& a)
    {
        auto const count = static_cast<int>(a.per_second_ * a.seconds_);
        for (int i = 0; i < count; ++i)
        {
            auto const when = (i + random_.uniform()) / a.per_second_;
            auto one = item(++number_, a.workspace_, a.tier_,
                            at(base::from_seconds(when)));
            one.prompt_tokens_ = a.prompt_;
            one.max_output_tokens_ = 4 * a.output_;
            auto const spread = static_cast<std::uint64_t>(2 * a.output_);
            cell_.add_arrival(
                one, 1 + static_cast<base::token_count>(random_.below(spread)));
        }
    }

private:
    virtual_cell& cell_;
    base::random_source random_{7};
    std::uint64_t number_ = 0;
};

/// Seconds from the arrival to the grant of the workspace's served requests, in
/// ascending order.
std::vector<double> sorted_waits(virtual_cell const& cell,
                                 std::string const& workspace)
{
    std::vector<double> found;
    for (auto const& [number, r] : cell.records())
    {
        if (r.served() && r.item_.workspace_.str() == workspace)
        {
            found.push_back(base::seconds(r.granted_ - r.item_.received_));
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace

TEST_GROUP(policy){};

// Four targets with four slots each and one second per answer serve 16 answers
// per second.
TEST(policy, at_three_times_capacity_the_top_tier_is_fully_served)
{
    virtual_cell cell{"tanagerlead", testing::cell(4, 4)};
    workload_driver load{cell};
    load.add({"a", 0, 8, 60});
    load.add({"b", 1, 20, 60});
    load.add({"c", 2, 20, 60});
    cell.run_until(at(200s));
    LONGS_EQUAL(0, cell.count(0, false));
    CHECK(cell.count(1, true) > 400);
    CHECK(cell.count(2, true) < cell.count(1, true) / 2);
}

TEST(policy, a_large_workspace_does_not_delay_a_small_one)
{
    virtual_cell cell{"tanagerlead", testing::cell(4, 4)};
    workload_driver load{cell};
    load.add({"small", 0, 0.5, 60});
    load.add({"large", 0, 40, 60});
    cell.run_until(at(200s));
    auto const small = sorted_waits(cell, "small");
    LONGS_EQUAL(30, small.size());
    CHECK(small[small.size() * 95 / 100] < 0.3);
}

TEST(policy, fifo_delays_the_small_workspace)
{
    virtual_cell cell{"least_outstanding", testing::cell(4, 4)};
    workload_driver load{cell};
    load.add({"small", 0, 0.5, 60});
    load.add({"large", 0, 40, 60});
    cell.run_until(at(200s));
    auto const small = sorted_waits(cell, "small");
    CHECK(small.empty() || small.back() > 5);
}

TEST(policy, capacity_is_fully_used_under_overload)
{
    virtual_cell cell{"tanagerlead", testing::cell(4, 4)};
    workload_driver load{cell};
    load.add({"a", 1, 24, 60});
    cell.run_until(at(60s));
    CHECK(cell.count(1, true) > 0.95 * 16 * 59);
}

TEST(policy, refusals_are_immediate_and_carry_a_retry_time)
{
    virtual_cell cell{"tanagerlead", testing::cell(4, 4)};
    workload_driver load{cell};
    load.add({"a", 0, 60, 60});
    cell.run_until(at(60s));
    std::size_t refused = 0;
    for (auto const& [number, r] : cell.records())
    {
        if (r.refusal_)
        {
            ++refused;
            // Until the speeds of the targets are known, too many requests may
            // be admitted.
            CHECK(r.refused_after_ < 1ms || r.item_.received_ < at(15s));
            CHECK(r.refusal_->cause_ == refusal_cause::overloaded);
            CHECK(r.refusal_->retry_after_ >= 200ms);
        }
    }
    CHECK(refused > 1000);
}

TEST(policy, waiting_requests_are_shed_for_a_higher_tier)
{
    virtual_cell cell{"tanagerlead", testing::cell(4, 4)};
    workload_driver load{cell};
    load.add({"low", 1, 36, 20});
    cell.run_until(at(20s));
    auto const before = cell.scheduler().waiting();
    CHECK(before > 200);
    for (int i = 0; i < 400; ++i)
    {
        cell.add_arrival(item(5000 + i, "high", 0, at(20s)), 100);
    }
    cell.run_until(at(20s));
    std::size_t shed_count = 0;
    for (auto const& [number, r] : cell.records())
    {
        auto const waited = r.refused_after_ > 1ms && r.refused_after_ < 29s;
        shed_count += r.refusal_ && waited ? 1 : 0;
        CHECK(number < 5000 || !r.refusal_);
    }
    CHECK(shed_count > 50);
}

TEST(policy, a_request_that_cannot_end_in_time_is_refused_at_once)
{
    virtual_cell cell{"tanagerlead", testing::cell(1, 1)};
    workload_driver load{cell};
    load.add({"a", 0, 1, 10});
    cell.run_until(at(20s));
    auto late = item(1000, "a", 0, at(20s));
    late.deadline_ = at(20s + 100ms);
    cell.add_arrival(late, 100);
    auto in_time = item(1001, "a", 0, at(20s));
    in_time.deadline_ = at(25s);
    cell.add_arrival(in_time, 100);
    cell.run_until(at(20s));
    CHECK(cell.records().at(1000).refusal_.has_value());
    cell.run_until(at(30s));
    CHECK(cell.records().at(1001).served());
}

TEST(policy, a_straggler_is_detected_and_recovers)
{
    virtual_cell cell{"tanagerlead", testing::cell(6, 4)};
    workload_driver load{cell};
    load.add({"a", 1, 12, 120});
    cell.run_until(at(20s));
    cell.target("t3").step_ = 0.1;
    cell.run_until(at(60s));
    cell.target("t3").step_ = 0.01;
    cell.run_until(at(150s));
    std::array<std::size_t, 3> on_slow{};
    for (auto const& [number, r] : cell.records())
    {
        auto const phase = r.granted_ < at(20s)   ? 0
                           : r.granted_ < at(60s) ? 1
                                                  : 2;
        on_slow.at(phase) += r.target_ == "t3" ? 1 : 0;
    }
    // An even share of the 12 requests per second is 2 per second.
    CHECK(on_slow[0] > 20);
    CHECK(on_slow[1] < 20);
    CHECK(on_slow[2] > 50);
    LONGS_EQUAL(0, cell.count(1, false));
}

TEST(policy, a_conversation_stays_on_the_target_with_its_prefix)
{
    virtual_cell cell{"tanagerlead", testing::cell(4, 2)};
    std::set<std::string> used;
    // Keeps the first turn from going to the target that an idle cell uses
    // first.
    cell.add_arrival(item(100, "b", 0, at(10s - 100ms)), 50);
    for (int turn = 1; turn <= 10; ++turn)
    {
        auto i = item(turn, "a", 0, at(10s * turn));
        i.prompt_tokens_ = prefix_block_tokens * turn * 10;
        for (int block = 0; block < turn * 10; ++block)
        {
            i.prefix_.push_back(1000 + block);
        }
        cell.add_arrival(i, 50);
        cell.run_until(at(10s * turn + 5s));
        used.insert(cell.records().at(turn).target_);
    }
    LONGS_EQUAL(1, used.size());
}

TEST(policy, a_request_that_crashes_targets_is_quarantined_alone)
{
    virtual_cell cell{"tanagerlead", testing::cell(4, 4)};
    cell.crashing_fingerprint_ = 66666;
    workload_driver load{cell};
    load.add({"a", 0, 6, 120});
    for (int copy = 0; copy < 20; ++copy)
    {
        auto i = item(5000 + copy, "b", 0, at(5s + 5s * copy));
        i.fingerprint_ = 66666;
        cell.add_arrival(i, 50);
    }
    cell.run_until(at(200s));
    std::size_t ran = 0;
    for (auto const& [number, r] : cell.records())
    {
        ran += number >= 5000 && !r.target_.empty() ? 1 : 0;
        auto const quarantined =
            r.refusal_ && r.refusal_->cause_ == refusal_cause::quarantined;
        CHECK(number >= 5000 || !quarantined);
    }
    LONGS_EQUAL(quarantine::crashes_for_quarantine, ran);
}
