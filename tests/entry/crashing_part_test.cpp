#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>

using namespace tanagerlead;
using namespace tanagerlead::test;
using namespace std::chrono_literals;

namespace
{

using step = answer_step;
using action = answer_step::action;

constexpr std::size_t target_count = 8;
/// Crashes that are further apart are no failure of several targets at once.
constexpr auto time_between_crashes = 300ms;

std::atomic<bool> is_bad{true};

std::vector<step> answer_or_crash(std::string const& request)
{
    if (is_bad &&
        header_value(request, "Tanagerlead-Prompt-Prefix").find("bad:") !=
            std::string::npos)
    {
        return {{action::crash, ""}};
    }
    return {{action::send, complete_answer(request, 200, "sound")},
            {action::close, ""}};
}

} // namespace

TEST_GROUP(crashing_part)
{
    entry_fixture entry_;
    std::vector<std::unique_ptr<scripted_target>> targets_;

    void setup() override
    {
        is_bad = true;
        entry_.configure();
        for (std::size_t i = 0; i < target_count; ++i)
        {
            targets_.push_back(
                std::make_unique<scripted_target>(answer_or_crash));
        }
        show_targets();
    }

    void show_targets()
    {
        std::vector<scripted_target const*> shown;
        for (auto const& target : targets_)
        {
            shown.push_back(target->has_crashed() ? nullptr : target.get());
        }
        entry_.set_targets(shown);
    }

    std::ptrdiff_t crashes() const
    {
        return std::count_if(targets_.begin(), targets_.end(),
                             [](auto const& target)
                             { return target->has_crashed(); });
    }

    std::string send(std::string const& parts)
    {
        raw_caller caller{entry_.callers()};
        caller.send(entry_fixture::request(
            "/once/", "body of " + parts,
            "Tanagerlead-Prompt-Prefix: " + parts + "\r\n"));
        return caller.read_until("\r\n\r\n").substr(0, 12);
    }
};

TEST(crashing_part, different_requests_that_share_it_stop_crashing_targets)
{
    for (std::size_t i = 0; i < target_count; ++i)
    {
        auto const own = "c" + std::to_string(i) + ":9";
        send("a1:50,bad:20," + own);
        show_targets();
        STRCMP_EQUAL("HTTP/1.1 200", send("a1:50," + own).c_str());
        std::this_thread::sleep_for(time_between_crashes);
    }
    LONGS_EQUAL(3, crashes());
    STRCMP_EQUAL("HTTP/1.1 503", send("b2:50,bad:20,d0:9").c_str());
    STRCMP_EQUAL("HTTP/1.1 200", send("a1:50,d1:9").c_str());
}

TEST(crashing_part, a_request_that_waits_at_a_target_is_withdrawn)
{
    scripted_target slow{[](std::string const&) -> std::vector<step>
                         {
                             return {{action::wait_for_peer, ""}};
                         }};
    entry_.set_targets({&slow});
    raw_caller waiting{entry_.callers()};
    waiting.send(entry_fixture::request(
        "/once/", "", "Tanagerlead-Prompt-Prefix: a1:50,bad:20,e0:9\r\n"));
    while (slow.requests().empty())
    {
        std::this_thread::yield();
    }
    for (std::size_t i = 0; crashes() < 3; ++i)
    {
        show_targets();
        send("a1:50,bad:20,c" + std::to_string(i) + ":9");
        std::this_thread::sleep_for(time_between_crashes);
    }
    CHECK(waiting.read_until("\r\n\r\n").starts_with("HTTP/1.1 502"));
    while (!slow.has_peer_closed())
    {
        std::this_thread::yield();
    }
}

TEST(crashing_part, is_tried_after_a_while_and_released_if_it_runs_well)
{
    for (std::size_t i = 0; crashes() < 3; ++i)
    {
        send("a1:50,bad:20,c" + std::to_string(i) + ":9");
        show_targets();
        std::this_thread::sleep_for(time_between_crashes);
    }
    STRCMP_EQUAL("HTTP/1.1 503", send("a1:50,bad:20,d0:9").c_str());
    is_bad = false;
    std::this_thread::sleep_for(routing::part_quarantine::trial_delays.front());
    STRCMP_EQUAL("HTTP/1.1 200", send("a1:50,bad:20,d1:9").c_str());
    STRCMP_EQUAL("HTTP/1.1 200", send("a1:50,bad:20,d2:9").c_str());
}

TEST(crashing_part, the_part_of_a_request_alone_is_not_shared)
{
    for (std::size_t i = 0; i < target_count / 2; ++i)
    {
        send("a1:50,bad:20");
        show_targets();
        std::this_thread::sleep_for(time_between_crashes);
    }
    STRCMP_EQUAL("HTTP/1.1 200", send("a1:50,d1:9").c_str());
}
