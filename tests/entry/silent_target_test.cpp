#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

TEST_GROUP(silent_target)
{
    entry_fixture entry_;

    std::string ask(scripted_target const& target, std::string const& path)
    {
        entry_.configure();
        entry_.set_targets({&target});
        raw_caller caller{entry_.callers()};
        caller.send(entry_fixture::request(path, "", "Connection: close\r\n"));
        auto answer = caller.read_to_end();
        entry_.set_targets({});
        return answer;
    }
};

TEST(silent_target, goes_on_with_its_stream_after_a_second)
{
    scripted_target const target{
        [](std::string const& request) -> std::vector<answer_step>
        {
            return {{answer_step::action::send,
                     stream_head(request) + event_chunk(1)},
                    {answer_step::action::fall_silent, ""},
                    {answer_step::action::send, event_chunk(2) + stream_end}};
        }};
    for (auto const* const path : {"/stream/", "/flow/"})
    {
        auto const answer = ask(target, path);
        CHECK(answer.find("id: 2\n") != std::string::npos);
        CHECK(answer.ends_with(stream_end));
    }
    LONGS_EQUAL(2, target.requests().size());
}

TEST(silent_target, answers_after_a_second)
{
    scripted_target const target{
        [](std::string const& request) -> std::vector<answer_step>
        {
            return {{answer_step::action::fall_silent, ""},
                    {answer_step::action::send,
                     complete_answer(request, 200, "done")}};
        }};
    for (auto const* const path : {"/plain/", "/once/"})
    {
        CHECK(ask(target, path).ends_with("done"));
    }
    LONGS_EQUAL(2, target.requests().size());
}
