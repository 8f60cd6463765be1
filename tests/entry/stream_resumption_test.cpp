#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <functional>
#include <thread>

using namespace tanagerlead;
using namespace tanagerlead::test;
using namespace std::chrono_literals;

namespace
{

using step = answer_step;
using action = answer_step::action;

std::vector<step> reject(int status)
{
    return {{action::send,
             "HTTP/1.1 " + std::to_string(status) +
                 " X\r\nTanagerlead-Request-Id: q1\r\n"
                 "Tanagerlead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"}};
}

} // namespace

TEST_GROUP(stream_resumption)
{
    entry_fixture entry_;
    std::atomic<int> rejections_{0};
    /// Requests that the targets of `stream_from_two` got.
    std::size_t requests_ = 0;

    /// What a caller gets of two targets that answer from `script`, if it reads
    /// on only after `meanwhile`, which follows the first event.
    std::string stream_from_two(scripted_target::script const& script,
                                base::duration timeout,
                                std::function<void()> const& meanwhile)
    {
        scripted_target const first{script};
        scripted_target const second{script};
        entry_.configure(timeout);
        entry_.set_targets({&first, &second});
        raw_caller caller{entry_.callers()};
        caller.send(
            entry_fixture::request("/stream/", "", "Connection: close\r\n"));
        caller.read_until("id: 1\n");
        meanwhile();
        auto answer = caller.read_to_end();
        requests_ = first.requests().size() + second.requests().size();
        entry_.set_targets({});
        return answer;
    }

    /// A stream breaks off after its first event, and `count` targets reject
    /// its resumption with `status`. Returns what the caller gets.
    std::string resume(int count, int status)
    {
        rejections_ = 0;
        auto const script = [&](std::string const& r) -> std::vector<step>
        {
            if (header_value(r, "Last-Event-Id").empty())
            {
                return {{action::send, stream_head(r) + event_chunk(1)},
                        {action::reset, ""}};
            }
            if (rejections_ < count)
            {
                ++rejections_;
                return reject(status);
            }
            return {
                {action::send, stream_head(r) + event_chunk(2) + stream_end}};
        };
        std::vector<std::unique_ptr<scripted_target>> targets;
        std::vector<scripted_target const*> shown;
        for (int i = 0; i < count + 2; ++i)
        {
            targets.push_back(std::make_unique<scripted_target>(script));
            shown.push_back(targets.back().get());
        }
        entry_.configure();
        entry_.set_targets(shown);
        raw_caller caller{entry_.callers()};
        caller.send(
            entry_fixture::request("/stream/", "", "Connection: close\r\n"));
        auto answer = caller.read_to_end();
        entry_.set_targets({});
        return answer;
    }
};

TEST(stream_resumption, goes_on_at_another_target_if_one_sheds_it)
{
    for (auto const status : {503, 429, 421})
    {
        auto const answer = resume(1, status);
        CHECK_TEXT(answer.find("id: 2\n") != std::string::npos,
                   std::to_string(status).c_str());
        CHECK(answer.ends_with(stream_end));
    }
}

TEST(stream_resumption, is_bounded_when_all_targets_shed_it)
{
    auto const answer = resume(6, 503);
    CHECK(!answer.ends_with(stream_end));
    LONGS_EQUAL(3, rejections_);
}

TEST(stream_resumption, leaves_a_target_that_falls_silent_midway)
{
    auto const script = [](std::string const& r) -> std::vector<step>
    {
        if (header_value(r, "Last-Event-Id").empty())
        {
            return {{action::send, stream_head(r) + event_chunk(1)},
                    {action::wait_for_peer, ""}};
        }
        return {{action::send, stream_head(r) + event_chunk(2) + stream_end}};
    };
    auto const answer = stream_from_two(script, 5s, [] {});
    CHECK(answer.find("id: 2\n") != std::string::npos);
    CHECK(answer.ends_with(stream_end));
}

TEST(stream_resumption, stays_at_its_target_while_the_caller_reads_slowly)
{
    // More than the buffers of all connections on the way hold.
    std::string many;
    for (int i = 1; i <= 1000; ++i)
    {
        auto const event = "id: " + std::to_string(i) +
                           "\ndata: " + std::string(16000, 'x') + "\n\n";
        std::array<char, 16> size{};
        (void)std::snprintf(size.data(), size.size(), "%zx", event.size());
        many += std::string{size.data()} + "\r\n" + event + "\r\n";
    }
    auto const script = [&](std::string const& r) -> std::vector<step>
    {
        return {{action::send, stream_head(r) + many + stream_end}};
    };
    auto const answer =
        stream_from_two(script, 15s, [] { std::this_thread::sleep_for(3s); });
    CHECK(answer.ends_with(stream_end));
    LONGS_EQUAL(1, requests_);
}

TEST(stream_resumption, stays_at_its_target_while_the_daemon_shuts_down)
{
    auto const script = [](std::string const& r) -> std::vector<step>
    {
        return {{action::send, stream_head(r) + event_chunk(1)},
                {action::fall_silent, ""},
                {action::fall_silent, ""},
                {action::send, event_chunk(2) + stream_end}};
    };
    auto const answer = stream_from_two(
        script, 5s,
        [this]
        { entry_.on_loop([this] { entry_.daemon().shut_down([] {}); }); });
    CHECK(answer.ends_with(stream_end));
    LONGS_EQUAL(1, requests_);
}
