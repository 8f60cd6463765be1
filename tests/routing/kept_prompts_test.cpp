#include "src/routing/prefix_memory.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

base::pool_id const pool{"llm"};

sized_prompt_parts prompt(std::uint64_t beginning, base::token_count shared,
                          std::uint64_t last, base::token_count own)
{
    return {{prompt_part{beginning}, shared}, {prompt_part{last}, own}};
}

} // namespace

TEST_GROUP(prefix_memory)
{
    prefix_memory m_;
};

TEST(prefix_memory, keeps_the_common_beginning)
{
    m_.on_read(prompt(1, 400, 10, 50), 1000, at(0s));
    LONGS_EQUAL(450, m_.kept(prompt(1, 400, 10, 50), at(1s)));
    LONGS_EQUAL(400, m_.kept(prompt(1, 400, 11, 50), at(1s)));
    LONGS_EQUAL(0, m_.kept(prompt(2, 400, 10, 50), at(1s)));
}

TEST(prefix_memory, drops_the_least_recently_used_when_full)
{
    m_.on_read(prompt(1, 400, 10, 50), 1000, at(0s));
    m_.on_read(prompt(2, 400, 20, 50), 1000, at(1s));
    m_.on_read(prompt(3, 400, 30, 50), 1000, at(2s));
    LONGS_EQUAL(0, m_.kept(prompt(1, 400, 10, 50), at(2s)));
    LONGS_EQUAL(400, m_.kept(prompt(2, 400, 21, 50), at(2s)));
    LONGS_EQUAL(450, m_.kept(prompt(3, 400, 30, 50), at(2s)));
}

TEST(prefix_memory, keeps_nothing_without_room)
{
    m_.on_read(prompt(1, 400, 10, 50), 300, at(0s));
    LONGS_EQUAL(0, m_.kept(prompt(1, 400, 10, 50), at(0s)));
}

TEST(prefix_memory, forgets_what_was_unused_for_long)
{
    m_.on_read(prompt(1, 400, 10, 50), 1000, at(0s));
    auto const later = at(prefix_memory::max_unused + 1ms);
    LONGS_EQUAL(0, m_.kept(prompt(1, 400, 10, 50), later));
}

TEST(prefix_memory, is_bounded)
{
    for (std::uint64_t n = 0; n < 1000; ++n)
    {
        m_.on_read(prompt(1, 1, 10 + n, 1), 1'000'000, at(0s));
    }
    LONGS_EQUAL(prefix_memory::max_parts, m_.size());
    LONGS_EQUAL(1, m_.kept(prompt(1, 1, 5, 1), at(0s)));
}

TEST_GROUP(kept_prompts)
{
    peer_table peers_;
    driver d_{peers_, true};
    std::uint64_t next_ = 1;

    void set_up_pool(base::token_count memory, int slots = 4)
    {
        d_->set_targets({target("a", slots), target("b", slots),
                         target("c", slots), target("d", slots)});
        d_->set_pools({{pool, memory}});
    }

    /// The target that a request with this prompt is sent to.
    std::string send(sized_prompt_parts parts, base::time_point now)
    {
        auto c = routing::testing::call(next_++);
        c.work_.prompt_tokens_ = 0;
        for (auto const& part : parts)
        {
            c.work_.prompt_tokens_ += part.tokens_;
        }
        c.affinity_key_ = static_cast<std::uint64_t>(parts.back().part_);
        c.prompt_ = std::move(parts);
        c.work_.received_ = now;
        c.work_.deadline_ = now + 60s;
        auto const before = d_.granted_.size();
        d_->submit(c, now);
        d_.advance(now);
        return d_.granted_.size() == before ? ""
                                            : d_.granted_.back().target_.str();
    }

    void end_last(attempt_outcome how, base::time_point now)
    {
        d_->on_attempt_end(d_.granted_.back().request_, how, now);
        d_.advance(now);
    }
};

TEST(kept_prompts, long_beginnings_are_read_once)
{
    set_up_pool(200'000);
    std::map<std::uint64_t, std::string> holders;
    for (std::uint64_t n = 0; n < 200; ++n)
    {
        auto const now = at(n * 10ms);
        auto const beginning = 1 + n % 8;
        auto const where = send(prompt(beginning, 6000, 100 + n, 100), now);
        auto const& first = holders.try_emplace(beginning, where).first->second;
        CHECK_EQUAL(first, where);
        end_last(attempt_outcome::finished, now + 5ms);
    }
}

TEST(kept_prompts, a_short_beginning_does_not_outweigh_load)
{
    set_up_pool(200'000);
    std::map<std::string, int> counts;
    for (std::uint64_t n = 0; n < 8; ++n)
    {
        ++counts[send(prompt(1, 60, 100 + n, 100), at(0s))];
    }
    LONGS_EQUAL(4, counts.size());
}

TEST(kept_prompts, a_hot_beginning_spreads_over_all_targets)
{
    set_up_pool(200'000);
    std::map<std::string, int> counts;
    for (std::uint64_t n = 0; n < 16; ++n)
    {
        ++counts[send(prompt(1, 6000, 100 + n, 100), at(0s))];
    }
    LONGS_EQUAL(4, counts.size());
    LONGS_EQUAL(0, counts.count(""));
}

TEST(kept_prompts, daemons_choose_the_same_target_for_a_beginning)
{
    set_up_pool(200'000);
    peer_table other_peers;
    driver other{other_peers, true};
    other->set_targets(
        {target("a", 4), target("b", 4), target("c", 4), target("d", 4)});
    other->set_pools({{pool, 200'000}});
    for (std::uint64_t n = 1; n <= 20; ++n)
    {
        auto const here = send(prompt(n, 6000, 100 + n, 10), at(0s));
        end_last(attempt_outcome::finished, at(0s));
        auto c = routing::testing::call(n);
        c.work_.prompt_tokens_ = 6010;
        c.prompt_ = prompt(n, 6000, 200 + n, 10);
        other->submit(c, at(0s));
        other.advance(at(0s));
        CHECK_EQUAL(here, other.granted_.back().target_.str());
        other->on_attempt_end(c.work_.request_, attempt_outcome::finished,
                              at(0s));
    }
}

// Prompts of 600 tokens at targets that hold 1000: what is kept gives way to
// what runs, and every request is served.
TEST(kept_prompts, small_memory_refuses_nobody)
{
    set_up_pool(1000);
    for (std::uint64_t n = 0; n < 50; ++n)
    {
        CHECK(
            !send(prompt(1 + n % 3, 500, 100 + n, 100), at(n * 10ms)).empty());
        end_last(attempt_outcome::finished, at(n * 10ms + 5ms));
    }
}
