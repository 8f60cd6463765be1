#include "tests/process/fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <future>

using namespace tanagerlead::process;

namespace
{

using answers = std::vector<std::future<answer>>;

question make_question(int number, int tokens, char const* key = "gold")
{
    return {key, "question " + std::to_string(number) + " of this test", tokens,
            number % 4 != 3};
}

/// Asks daemon `number % daemons` each question in a thread of its own.
answers ask_all(fleet const& asked, std::vector<question> const& questions,
                int daemons)
{
    answers pending;
    for (std::size_t i = 0; i < questions.size(); ++i)
    {
        pending.push_back(std::async(std::launch::async,
                                     [&asked, question = questions[i],
                                      daemon = static_cast<int>(i) % daemons]
                                     { return asked.ask(daemon, question); }));
    }
    return pending;
}

std::vector<question> make_questions(int count, int tokens)
{
    constexpr char const* keys[] = {"gold", "silver", "bronze"};
    std::vector<question> made;
    for (int i = 0; i < count; ++i)
    {
        made.push_back(make_question(i, tokens, keys[i % 3]));
    }
    return made;
}

bool at_most_once(std::map<std::string, int> const& counts)
{
    return std::all_of(counts.begin(), counts.end(),
                       [](auto const& entry) { return entry.second <= 1; });
}

} // namespace

TEST_GROUP(promises){};

TEST(promises, each_caller_gets_the_whole_answer_to_its_own_request)
{
    fleet tested{{}};
    CHECK(tested.start());
    auto const questions = make_questions(48, 12);
    auto pending = ask_all(tested, questions, 3);
    for (std::size_t i = 0; i < pending.size(); ++i)
    {
        auto const got = pending[i].get();
        CHECK_EQUAL(200, got.status_);
        STRCMP_EQUAL("complete", got.outcome_.c_str());
        CHECK(got.ended_);
        STRCMP_EQUAL(fleet::expected_text(questions[i]).c_str(),
                     got.text_.c_str());
    }
    CHECK(at_most_once(tested.dispatches()));
    CHECK_EQUAL(48, tested.dispatches().size());
}

TEST(promises, a_killed_daemon_doubles_nothing_and_the_others_serve_on)
{
    fleet tested{{}};
    CHECK(tested.start());
    auto const questions = make_questions(60, 40);
    auto pending = ask_all(tested, questions, 3);
    CHECK(tested.wait_for_dispatches(8));
    tested.daemon(1).signal(SIGKILL);
    tested.daemon(1).wait();
    for (std::size_t i = 0; i < pending.size(); ++i)
    {
        auto const got = pending[i].get();
        if (i % 3 == 1)
        {
            // Cut, or complete before the kill; never somebody else's.
            CHECK(!got.ended_ || got.outcome_ == "complete");
            continue;
        }
        CHECK_EQUAL(200, got.status_);
        STRCMP_EQUAL("complete", got.outcome_.c_str());
        STRCMP_EQUAL(fleet::expected_text(questions[i]).c_str(),
                     got.text_.c_str());
    }
    CHECK(at_most_once(tested.dispatches()));
}

TEST(promises, a_frozen_daemon_that_resumes_doubles_nothing)
{
    fleet tested{{}};
    CHECK(tested.start());
    auto const questions = make_questions(45, 30);
    auto pending = ask_all(tested, questions, 3);
    CHECK(tested.wait_for_dispatches(6));
    tested.daemon(0).signal(SIGSTOP);
    for (std::size_t i = 0; i < pending.size(); ++i)
    {
        if (i % 3 != 0)
        {
            auto const got = pending[i].get();
            STRCMP_EQUAL("complete", got.outcome_.c_str());
        }
    }
    tested.daemon(0).signal(SIGCONT);
    for (std::size_t i = 0; i < pending.size(); i += 3)
    {
        auto const got = pending[i].get();
        CHECK(got.ended_);
        if (got.outcome_ == "complete")
        {
            STRCMP_EQUAL(fleet::expected_text(questions[i]).c_str(),
                         got.text_.c_str());
        }
    }
    CHECK(at_most_once(tested.dispatches()));
}

TEST(promises, a_planned_stop_cuts_nothing)
{
    fleet tested{{}};
    CHECK(tested.start());
    auto const questions = make_questions(30, 40);
    auto pending = ask_all(tested, questions, 3);
    CHECK(tested.wait_for_dispatches(10));
    tested.daemon(2).signal(SIGTERM);
    for (std::size_t i = 0; i < pending.size(); ++i)
    {
        auto const got = pending[i].get();
        CHECK(got.status_ != 0);
        CHECK(got.ended_);
        // What came after the stop began is refused, and was not run.
        CHECK(got.outcome_ == "complete" || got.outcome_ == "not_run");
        if (got.outcome_ == "complete")
        {
            STRCMP_EQUAL(fleet::expected_text(questions[i]).c_str(),
                         got.text_.c_str());
        }
        else
        {
            CHECK_EQUAL(0, tested.dispatches().count(got.request_));
        }
    }
    CHECK_EQUAL(0, tested.daemon(2).wait());
}

TEST(promises, replacing_each_daemon_in_turn_loses_nothing)
{
    fleet tested{{}};
    CHECK(tested.start());
    for (int stopped = 0; stopped < 3; ++stopped)
    {
        auto const questions = make_questions(12, 20);
        std::vector<std::future<answer>> pending;
        for (auto const& asked : questions)
        {
            pending.push_back(std::async(
                std::launch::async, [&tested, asked, at = (stopped + 1) % 3]
                { return tested.ask(at, asked); }));
        }
        tested.daemon(stopped).signal(SIGTERM);
        CHECK_EQUAL(0, tested.daemon(stopped).wait());
        for (auto& each : pending)
        {
            STRCMP_EQUAL("complete", each.get().outcome_.c_str());
        }
        CHECK(tested.start_daemon(stopped));
        CHECK(tested.wait_until_ready(stopped));
    }
    CHECK(at_most_once(tested.dispatches()));
}

TEST(promises, a_deposit_runs_once_however_often_it_is_sent)
{
    fleet tested{{}};
    CHECK(tested.start());
    answers pending;
    for (int i = 0; i < 9; ++i)
    {
        pending.push_back(std::async(
            std::launch::async,
            [&tested, i] {
                return tested.post(i % 3, {"gold", "deposit-1", "{\"a\":1}"});
            }));
    }
    for (auto& each : pending)
    {
        auto const got = each.get();
        CHECK(got.outcome_ == "complete" || got.outcome_ == "unknown");
    }
    CHECK_EQUAL(1, tested.runs_by_key()["deposit-1"]);
    // Later, at each daemon: answered from the one that ran it.
    for (int i = 0; i < 3; ++i)
    {
        auto const got = tested.post(i, {"gold", "deposit-1", "{\"a\":1}"});
        STRCMP_EQUAL("complete", got.outcome_.c_str());
    }
    CHECK_EQUAL(1, tested.runs_by_key()["deposit-1"]);
}

TEST(promises, a_deposit_is_not_run_again_after_its_daemon_died)
{
    fleet tested{{}};
    CHECK(tested.start());
    STRCMP_EQUAL("complete",
                 tested.post(0, {"gold", "deposit-2", "{}"}).outcome_.c_str());
    tested.daemon(0).signal(SIGKILL);
    tested.daemon(0).wait();
    auto const repeated = tested.post(1, {"gold", "deposit-2", "{}"});
    STRCMP_EQUAL("unknown", repeated.outcome_.c_str());
    CHECK(tested.start_daemon(0));
    CHECK(tested.wait_until_ready(0));
    auto const again = tested.post(0, {"gold", "deposit-2", "{}"});
    STRCMP_EQUAL("unknown", again.outcome_.c_str());
    CHECK_EQUAL(1, tested.runs_by_key()["deposit-2"]);
}

TEST(promises, a_deposit_whose_claim_answer_is_lost_runs_once)
{
    fleet tested{{}};
    CHECK(tested.start());
    fleet::set_faults(tested.key_value(), R"({"lose_answers": 1})");
    auto const got = tested.post(0, {"gold", "deposit-3", "{}"});
    STRCMP_EQUAL("complete", got.outcome_.c_str());
    CHECK_EQUAL(1, tested.runs_by_key()["deposit-3"]);
}

TEST(promises, without_the_store_deposits_are_not_run_and_reports_go_on)
{
    fleet tested{{}};
    CHECK(tested.start());
    fleet::set_faults(tested.key_value(), R"({"outage": "refuse"})");
    auto const refused = tested.post(0, {"gold", "deposit-4", "{}"});
    STRCMP_EQUAL("not_run", refused.outcome_.c_str());
    STRCMP_EQUAL("store_unavailable", refused.cause_.c_str());
    CHECK_EQUAL(0, tested.runs_by_key()["deposit-4"]);
    auto const asked = make_question(1, 8);
    STRCMP_EQUAL("complete", tested.ask(1, asked).outcome_.c_str());
    // A new life takes the configuration from its peers.
    tested.daemon(2).signal(SIGKILL);
    tested.daemon(2).wait();
    CHECK(tested.start_daemon(2));
    CHECK(tested.wait_until_ready(2));
    STRCMP_EQUAL("complete", tested.ask(2, asked).outcome_.c_str());
}

TEST(promises, a_prompt_that_kills_engines_is_stopped)
{
    fleet_settings settings;
    settings.engines_ = 8;
    fleet tested{settings};
    CHECK(tested.start());
    for (int i = 0; i < tested.engines(); ++i)
    {
        fleet::set_faults(tested.engine(i), R"({"crash_marker": "poison"})");
    }
    std::string last_cause;
    int lost = 0;
    for (int sent = 0; sent < 8 && last_cause != "quarantined"; ++sent)
    {
        auto const got = tested.ask(sent % 3, {"bronze", "poison x", 4, true});
        last_cause = got.cause_;
        lost += got.outcome_ == "unknown" ? 1 : 0;
    }
    STRCMP_EQUAL("quarantined", last_cause.c_str());
    CHECK(lost < 5);
    // Others are served by what is left.
    auto const asked = make_question(2, 8);
    auto const got = tested.ask(0, asked);
    STRCMP_EQUAL(fleet::expected_text(asked).c_str(), got.text_.c_str());
}

TEST(promises, of_two_racing_operators_one_is_told_of_the_conflict)
{
    fleet tested{{}};
    CHECK(tested.start());
    std::vector<std::future<answer>> pending;
    for (int i = 0; i < 3; ++i)
    {
        pending.push_back(std::async(
            std::launch::async,
            [&tested, i]
            {
                return tested.patch(i, 1, "race-" + std::to_string(i),
                                    R"({"workspaces":{"gold":{"weight":)" +
                                        std::to_string(i + 2) + "}}}");
            }));
    }
    int accepted = 0;
    int conflicts = 0;
    for (auto& each : pending)
    {
        auto const status = each.get().status_;
        accepted += status == 200 ? 1 : 0;
        conflicts += status == 409 ? 1 : 0;
    }
    CHECK_EQUAL(1, accepted);
    CHECK_EQUAL(2, conflicts);
    for (int i = 0; i < 3; ++i)
    {
        CHECK(tested.wait_for_version(i, 2));
    }
}

TEST(promises, a_patch_whose_answer_is_lost_is_settled)
{
    fleet tested{{}};
    CHECK(tested.start());
    fleet::set_faults(tested.key_value(), R"({"lose_answers": 2})");
    auto const got =
        tested.patch(0, 1, "lost", R"({"workspaces":{"gold":{"weight":5}}})");
    CHECK_EQUAL(200, got.status_);
    for (int i = 0; i < 3; ++i)
    {
        CHECK(tested.wait_for_version(i, 2));
    }
}
