#include "src/routing/stream_origins.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

constexpr attempt_digest attempt{17};
constexpr version_digest version{4};

} // namespace

TEST_GROUP(stream_origins)
{
    stream_origins here_;
    stream_origins there_;
};

TEST(stream_origins, are_copied_to_holders_together)
{
    here_.on_begun({attempt, version}, at(0s));
    here_.on_begun({attempt_digest{18}, version}, at(10ms));
    CHECK(here_.take_due(at(50ms)).copies_.empty());
    auto const due = here_.take_due(at(0s) + stream_origins::copy_interval);
    LONGS_EQUAL(1, due.copies_.size());
    LONGS_EQUAL(2, due.copies_[0].origins_.size());
    CHECK(there_.on_message(due.copies_[0], at(1s)).empty());
    CHECK(there_.find(attempt) == version);
}

TEST(stream_origins, are_asked_for_again_when_a_question_is_lost)
{
    there_.on_begun({attempt, version}, at(0s));
    here_.ask(attempt, at(0s));
    CHECK(!here_.take_due(at(0s)).questions_.empty());
    CHECK(here_.take_due(at(1ms)).questions_.empty());
    auto const again = here_.take_due(at(60ms));
    LONGS_EQUAL(1, again.questions_.size());
    auto const answer = there_.on_message(again.questions_[0], at(70ms));
    here_.on_message(answer, at(80ms));
    CHECK(here_.find(attempt) == version);
    CHECK(here_.take_due(at(5s)).given_up_.empty());
}

TEST(stream_origins, are_unknown_when_nobody_answers)
{
    here_.ask(attempt, at(0s));
    int questions = 0;
    for (auto t = at(0s); t < at(0s) + stream_origins::answer_timeout; t += 1ms)
    {
        auto const due = here_.take_due(t);
        questions += static_cast<int>(due.questions_.size());
        CHECK(due.given_up_.empty());
    }
    CHECK(questions <= 6);
    auto const due = here_.take_due(at(0s) + stream_origins::answer_timeout);
    LONGS_EQUAL(1, due.given_up_.size());
    CHECK(!here_.find(attempt));
    CHECK(here_.next_wakeup() == base::time_point::max());
}

TEST(stream_origins, that_contradict_each_other_are_not_used)
{
    here_.on_begun({attempt, version}, at(0s));
    here_.on_message({{{attempt, version_digest{5}}}, {}}, at(1s));
    CHECK(here_.find(attempt) == unknown_version);
}

TEST(stream_origins, are_kept_for_a_bounded_time_and_number)
{
    for (std::uint64_t i = 0; i < stream_origins::max_origins + 10; ++i)
    {
        here_.on_message({{{attempt_digest{i}, version}}, {}}, at(0s));
    }
    LONGS_EQUAL(stream_origins::max_origins, here_.size());
    here_.take_due(at(1s) + stream_origins::retention);
    LONGS_EQUAL(0, here_.size());
}

TEST(stream_origins, have_holders_that_few_changes_of_the_fleet_move)
{
    std::vector<peer_ip> others;
    for (std::uint32_t i = 1; i <= 20; ++i)
    {
        others.push_back(peer_ip{i});
    }
    auto const all = stream_origins::holders_of(peer_ip{99}, others);
    LONGS_EQUAL(stream_origins::holder_count, all.size());
    std::erase(others, all.front());
    auto const rest = stream_origins::holders_of(peer_ip{99}, others);
    for (std::size_t i = 1; i < all.size(); ++i)
    {
        CHECK(std::find(rest.begin(), rest.end(), all[i]) != rest.end());
    }
    LONGS_EQUAL(
        2, stream_origins::holders_of(peer_ip{99}, {peer_ip{1}, peer_ip{2}})
               .size());
}
