#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <utility>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

using step = answer_step;
using action = answer_step::action;

/// When the second copy of an answer is sent.
enum class copy_time : std::uint8_t
{
    /// In the same bytes as the first.
    with_the_first,
    after_the_first,
    /// Half of it after the first, the rest after the next request.
    around_the_next_request,
    /// Before the answer to the next request.
    after_the_next_request,
};

constexpr std::array all_times{
    copy_time::with_the_first, copy_time::after_the_first,
    copy_time::around_the_next_request, copy_time::after_the_next_request};

std::string answer_of(std::string const& request)
{
    auto const text =
        "for " + header_value(request, "Tanagerlead-Request-Id") + ".";
    if (request.starts_with("POST /once/"))
    {
        return complete_answer(request, 200, text);
    }
    return stream_head(request) +
           net::to_chunk("id: 1\ndata: " + text + "\n\n") + stream_end;
}

} // namespace

TEST_GROUP(second_copy)
{
    entry_fixture entry_;

    void check(std::string const& path, copy_time when)
    {
        std::string late;
        scripted_target target{
            [&](std::string const& request) -> std::vector<step>
            {
                auto const answer = answer_of(request);
                auto const half = answer.size() / 2;
                auto const before = std::exchange(late, "");
                switch (when)
                {
                case copy_time::with_the_first:
                    return {{action::send, answer + answer}};
                case copy_time::after_the_first:
                    return {{action::send, answer}, {action::send, answer}};
                case copy_time::around_the_next_request:
                    late = answer.substr(half);
                    return {{action::send, before + answer},
                            {action::send, answer.substr(0, half)}};
                case copy_time::after_the_next_request:
                    late = answer;
                    return {{action::send, before + answer}};
                }
                return {};
            }};
        entry_.set_targets({&target});
        constexpr int count = 8;
        for (int i = 0; i < count; ++i)
        {
            check_own_answer(path, "c" + std::to_string(i), when);
        }
        entry_.set_targets({});
    }

    void check_own_answer(std::string const& path, std::string const& id,
                          copy_time when)
    {
        raw_caller caller{entry_.callers()};
        caller.send(entry_fixture::with_id(
            entry_fixture::request(path, "", "Connection: close\r\n"), id));
        auto const answer = caller.read_to_end();
        auto const text =
            path + std::to_string(static_cast<int>(when)) + answer;
        // A broken exchange is allowed to fail, but not with a foreign answer.
        auto const first = answer.find("for c");
        CHECK_TEXT(first == std::string::npos ||
                       answer.find("for " + id + ".") == first,
                   text.c_str());
        CHECK_TEXT(first == answer.rfind("for c"), text.c_str());
        if (when != copy_time::around_the_next_request)
        {
            CHECK_TEXT(answer.starts_with("HTTP/1.1 200"), text.c_str());
            CHECK_TEXT(first != std::string::npos, text.c_str());
        }
    }
};

TEST(second_copy, of_an_answer_is_no_answer_to_the_next_caller)
{
    entry_.configure();
    for (auto const when : all_times)
    {
        check("/once/", when);
    }
}

TEST(second_copy, of_a_stream_is_no_answer_to_the_next_caller)
{
    entry_.configure();
    for (auto const when : all_times)
    {
        check("/flow/", when);
    }
}
