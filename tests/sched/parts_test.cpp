#include "src/sched/adaptive_limit.hpp"
#include "src/sched/length_estimator.hpp"
#include "src/sched/load_view.hpp"
#include "src/sched/prefix_index.hpp"
#include "src/sched/quarantine.hpp"
#include "src/sched/straggler_detector.hpp"
#include "src/sched/target_model.hpp"
#include "tests/sched/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <numeric>

using namespace tanagerlead;
using namespace tanagerlead::sched;
using namespace tanagerlead::sched::testing;

TEST_GROUP(length_estimator){};

TEST(length_estimator, learns_each_workspace_and_falls_back)
{
    length_estimator lengths;
    LONGS_EQUAL(100, lengths.estimate(item(1, "a", 0)));
    for (int i = 0; i < 50; ++i)
    {
        lengths.add(item(1, "labels", 0), 10);
        lengths.add(item(1, "threads", 0), 390);
    }
    CHECK(lengths.estimate(item(1, "labels", 0)) < 40);
    CHECK(lengths.estimate(item(1, "threads", 0)) > 350);
    auto const unknown = lengths.estimate(item(1, "new", 0));
    CHECK(unknown > 150 && unknown < 250);
    auto bounded = item(1, "threads", 0);
    bounded.max_output_tokens_ = 20;
    LONGS_EQUAL(20, lengths.estimate(bounded));
}

TEST(length_estimator, stays_bounded)
{
    length_estimator lengths{100};
    for (int i = 0; i < 1000; ++i)
    {
        lengths.add(item(1, "w" + std::to_string(i), 0), 10);
    }
    LONGS_EQUAL(100, lengths.size());
}

TEST_GROUP(target_model){};

TEST(target_model, learns_prefill_and_decode_over_concurrency)
{
    target_model model;
    for (int i = 0; i < 200; ++i)
    {
        auto const concurrency = 1 + i % 8;
        auto const step = 0.01 + 0.002 * concurrency;
        auto const uncached = 500 + 100 * (i % 5);
        auto const first = uncached / 8000.0;
        model.add({uncached, 101, base::from_seconds(first),
                   base::from_seconds(first + 100 * step),
                   static_cast<double>(concurrency), 150});
    }
    DOUBLES_EQUAL(0.014, model.step(2), 0.001);
    DOUBLES_EQUAL(0.026, model.step(8), 0.001);
    DOUBLES_EQUAL(0.25, model.first_token(2000), 0.02);
}

TEST(target_model, learns_overhead_of_requests_without_tokens)
{
    target_model model;
    for (int i = 0; i < 20; ++i)
    {
        model.add({0, 0, {}, 40ms, 1, 1});
    }
    DOUBLES_EQUAL(0.04, model.service_time({0, 0, 3}), 0.002);
}

TEST_GROUP(load_view){};

TEST(load_view, counts_own_requests_once)
{
    load_view load;
    load.set_own_requests(3, at(1s));
    load.set_own_requests(6, at(3s));
    // Measured at 2 s, when three of the five were ours.
    load.observe({base::target_id{"t"}, 4, 1, 2s}, at(4s));
    LONGS_EQUAL(6, load.own_requests());
    LONGS_EQUAL(2, load.other_requests(at(4s)));
    // An older report that arrives later is ignored.
    load.observe({base::target_id{"t"}, 9, 9, 3s}, at(4s));
    LONGS_EQUAL(2, load.other_requests(at(4s)));
    LONGS_EQUAL(0, load.other_requests(at(60s)));
}

TEST_GROUP(adaptive_limit){};

TEST(adaptive_limit, shrinks_when_first_tokens_are_late_and_grows_again)
{
    adaptive_limit limit;
    limit.set_slots(8);
    LONGS_EQUAL(8, limit.limit());
    limit.on_finished({500ms, 2s, 100ms, 10ms, 8}, at(10s));
    auto const reduced_limit = limit.limit();
    CHECK(reduced_limit < 8);
    // Dispatched before the decrease, so it shows the same congestion.
    limit.on_finished({5s, 2s, 100ms, 10ms, 8}, at(10100ms));
    LONGS_EQUAL(reduced_limit, limit.limit());
    for (int i = 0; i < 50; ++i)
    {
        limit.on_finished({500ms, 100ms, 100ms, 10ms, limit.limit()},
                          at(11s + 1s * i));
    }
    LONGS_EQUAL(8, limit.limit());
}

TEST(adaptive_limit, does_not_grow_when_it_is_not_used)
{
    adaptive_limit limit;
    limit.set_slots(4);
    limit.on_finished({500ms, 2s, 100ms, 10ms, 4}, at(1s));
    auto const reduced_limit = limit.limit();
    for (int i = 2; i < 100; ++i)
    {
        limit.on_finished({500ms, 100ms, 100ms, 10ms, 1}, at(1s * i));
    }
    LONGS_EQUAL(reduced_limit, limit.limit());
}

TEST_GROUP(prefix_index){};

TEST(prefix_index, finds_the_cached_prefix_and_evicts_the_oldest_blocks)
{
    prefix_index index{8};
    prefix_hashes first(6);
    std::iota(first.begin(), first.end(), 100);
    index.add(first);
    auto longer = first;
    longer.push_back(900);
    LONGS_EQUAL(6 * prefix_block_tokens, index.cached(longer));
    prefix_hashes second(5);
    std::iota(second.begin(), second.end(), 200);
    index.add(second);
    LONGS_EQUAL(5 * prefix_block_tokens, index.cached(second));
    LONGS_EQUAL(3 * prefix_block_tokens, index.cached(first));
}

TEST(prefix_index, learns_the_size_of_the_target_cache)
{
    prefix_index index{1000};
    prefix_hashes first(50);
    std::iota(first.begin(), first.end(), 1);
    prefix_hashes second(200);
    std::iota(second.begin(), second.end(), 1000);
    index.add(first);
    index.add(second);
    auto const expected = index.match(first);
    LONGS_EQUAL(50 * prefix_block_tokens, expected.tokens_);
    LONGS_EQUAL(249, expected.age_);
    index.adjust_capacity(expected, expected.tokens_ - 10);
    LONGS_EQUAL(1000, index.capacity());
    // One miss is enough: the target keeps fewer than 249 blocks.
    index.adjust_capacity(expected, 0);
    LONGS_EQUAL(224, index.capacity());
    CHECK(index.cached(first) < expected.tokens_);
    LONGS_EQUAL(200 * prefix_block_tokens, index.cached(second));
    index.adjust_capacity({}, 50 * prefix_block_tokens);
    CHECK(index.capacity() > 224);
    index.clear();
    LONGS_EQUAL(0, index.cached(second));
}

TEST_GROUP(straggler)
{
    slowness subject_;
    std::array<slowness, 3> peers_;

    bool update_straggler_state()
    {
        std::vector<slowness const*> peers;
        for (auto const& p : peers_)
        {
            peers.push_back(&p);
        }
        straggler_detector::update_straggler_state(subject_, peers);
        return subject_.is_straggler();
    }
    void add_samples(double peer_ratio, double ratio)
    {
        for (auto& p : peers_)
        {
            p.add(peer_ratio);
        }
        subject_.add(ratio);
    }
};

TEST(straggler, is_detected_after_three_answers_and_recovers)
{
    add_samples(1, 3);
    add_samples(1, 3);
    CHECK_FALSE(update_straggler_state());
    add_samples(1, 3);
    CHECK(update_straggler_state());
    for (int i = 0; i < 5; ++i)
    {
        add_samples(1, 1);
    }
    CHECK_FALSE(update_straggler_state());
}

TEST(straggler, is_not_detected_when_all_targets_are_slow)
{
    for (int i = 0; i < 10; ++i)
    {
        add_samples(5, 5.5);
        CHECK_FALSE(update_straggler_state());
    }
}

TEST_GROUP(quarantine)
{
    quarantine local_;
    quarantine remote_;

    void add_crash(quarantine & q, char const* target, base::duration when)
    {
        q.on_target_lost(7, base::target_id{target}, at(when));
    }
};

TEST(quarantine, starts_after_three_crashes_and_expires)
{
    add_crash(local_, "t1", 1s);
    add_crash(local_, "t1", 1s + 1ms);
    add_crash(local_, "t2", 5s);
    CHECK(local_.is_suspect(7, at(6s)));
    CHECK_FALSE(local_.is_blocked(7, at(6s)));
    add_crash(local_, "t1", 10s);
    CHECK(local_.is_blocked(7, at(11s)));
    CHECK_FALSE(local_.is_blocked(8, at(11s)));
    CHECK_FALSE(
        local_.is_blocked(7, at(10s) + quarantine::quarantine_duration));
}

TEST(quarantine, a_successful_answer_clears_it)
{
    add_crash(local_, "t1", 1s);
    add_crash(local_, "t2", 5s);
    local_.on_finished(7, at(6s));
    add_crash(local_, "t3", 10s);
    CHECK_FALSE(local_.is_blocked(7, at(11s)));
}

TEST(quarantine, merged_suspicions_count_each_crash_once)
{
    add_crash(local_, "t1", 1s);
    add_crash(local_, "t2", 5s);
    add_crash(remote_, "t2", 5s);
    add_crash(remote_, "t3", 9s);
    for (int i = 0; i < 3; ++i)
    {
        local_.import_suspicions(remote_.export_suspicions(at(10s), 10),
                                 at(10s));
        remote_.import_suspicions(local_.export_suspicions(at(10s), 10),
                                  at(10s));
    }
    CHECK(local_.is_blocked(7, at(10s)));
    CHECK(remote_.is_blocked(7, at(10s)));
    remote_.on_finished(7, at(11s));
    local_.import_suspicions(remote_.export_suspicions(at(12s), 10), at(12s));
    CHECK_FALSE(local_.is_blocked(7, at(12s)));
}

TEST(quarantine, stays_bounded)
{
    for (std::uint64_t f = 1; f <= quarantine::max_suspicions + 100; ++f)
    {
        local_.on_target_lost(f, base::target_id{"t"}, at(1ms * f));
    }
    LONGS_EQUAL(quarantine::max_suspicions, local_.size());
    CHECK_FALSE(local_.is_suspect(1, at(10s)));
}
