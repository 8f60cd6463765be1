#include "tests/process/fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <future>

using namespace tanagerlead::process;

namespace
{

/// Runs for some seconds, so that a fault meets it half-way.
constexpr int long_answer = 300;

fleet_settings relayed()
{
    fleet_settings settings;
    settings.relayed_ = true;
    return settings;
}

question make_question(int number, int tokens)
{
    return {"gold", "fault question " + std::to_string(number), tokens, true};
}

std::vector<std::future<answer>> ask_all(fleet const& asked, int count,
                                         int tokens)
{
    std::vector<std::future<answer>> pending;
    for (int i = 0; i < count; ++i)
    {
        pending.push_back(
            std::async(std::launch::async, [&asked, i, tokens]
                       { return asked.ask(i % 3, make_question(i, tokens)); }));
    }
    return pending;
}

void check_complete(answer const& got, question const& asked)
{
    STRCMP_EQUAL("complete", got.outcome_.c_str());
    STRCMP_EQUAL(fleet::expected_text(asked).c_str(), got.text_.c_str());
}

} // namespace

TEST_GROUP(fault){};

TEST(fault, silent_connections_are_resumed_without_a_second_run)
{
    fleet tested{relayed()};
    CHECK(tested.start());
    constexpr int count = 6;
    auto pending = ask_all(tested, count, long_answer);
    CHECK(tested.wait_for_dispatches(count));
    tested.order_relays(R"({"action": "silence", "scope": "existing"})");
    for (int i = 0; i < count; ++i)
    {
        check_complete(pending[i].get(), make_question(i, long_answer));
    }
    auto const dispatches = tested.dispatches();
    CHECK_EQUAL(count, dispatches.size());
    for (auto const& [request, times] : dispatches)
    {
        CHECK_EQUAL(1, times);
    }
}

TEST(fault, what_a_cut_interrupts_is_never_called_not_run)
{
    fleet tested{relayed()};
    CHECK(tested.start());
    constexpr int count = 6;
    auto pending = ask_all(tested, count, long_answer);
    CHECK(tested.wait_for_dispatches(count));
    tested.order_relays(R"({"action": "cut", "scope": "all"})");
    for (auto& each : pending)
    {
        auto const got = each.get();
        CHECK(got.ended_);
        STRCMP_EQUAL("unknown", got.outcome_.c_str());
    }
    CHECK_EQUAL(count, tested.dispatches().size());
}

TEST(fault, a_leaving_target_ends_its_work_and_gets_no_more)
{
    fleet_settings settings;
    settings.engines_ = 1;
    fleet tested{settings};
    CHECK(tested.start());
    auto pending = ask_all(tested, 3, long_answer);
    CHECK(tested.wait_for_dispatches(3));
    tested.list_engine(0, "leaving");
    for (int daemon = 0; daemon < 3; ++daemon)
    {
        CHECK(wait_until(
            [&] {
                return tested.ask(daemon, make_question(9, 1)).outcome_ ==
                       "not_run";
            }));
    }
    auto const before = tested.dispatches();
    for (int i = 0; i < 9; ++i)
    {
        auto const got = tested.ask(i % 3, make_question(i, 1));
        STRCMP_EQUAL("not_run", got.outcome_.c_str());
    }
    CHECK(before == tested.dispatches());
    for (int i = 0; i < 3; ++i)
    {
        check_complete(pending[i].get(), make_question(i, long_answer));
    }
}

TEST(fault, versions_reach_eight_daemons_and_only_rise)
{
    fleet_settings settings;
    settings.daemons_ = 8;
    settings.engines_ = 1;
    fleet tested{settings};
    CHECK(tested.start());
    std::vector<int> seen(8, 1);
    for (int version = 2; version <= 6; ++version)
    {
        auto const merge = R"({"workspaces":{"gold":{"weight":)" +
                           std::to_string(version) + "}}}";
        auto const got =
            tested.patch(version % 8, version - 1,
                         "patch-" + std::to_string(version), merge);
        CHECK_EQUAL(200, got.status_);
        CHECK(wait_until(
            [&]
            {
                for (int i = 0; i < 8; ++i)
                {
                    auto const now = tested.version(i);
                    CHECK(now >= seen[i]);
                    seen[i] = now;
                }
                return std::all_of(seen.begin(), seen.end(),
                                   [&](int each) { return each == version; });
            }));
    }
}
