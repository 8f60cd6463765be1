#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

TEST_GROUP(dribbling_target)
{
    entry_fixture entry_;
};

// A byte a second is no silence, and no event.
TEST(dribbling_target, is_ended_by_the_time_limit_of_its_route)
{
    using action = answer_step::action;
    scripted_target const target{
        [](std::string const& request) -> std::vector<answer_step>
        {
            std::vector<answer_step> out{
                {action::send, stream_head(request) + event_chunk(1)}};
            constexpr int bytes = 5;
            for (int i = 0; i < bytes; ++i)
            {
                out.push_back({action::fall_silent, ""});
                out.push_back({action::send, net::to_chunk("d")});
            }
            out.push_back({action::close, ""});
            return out;
        }};
    constexpr base::duration time_limit = std::chrono::seconds{2};
    entry_.configure(time_limit);
    entry_.set_targets({&target});
    auto const asked = net::now();
    raw_caller caller{entry_.callers()};
    caller.send(entry_fixture::request("/flow/", "", "Connection: close\r\n"));
    auto const answer = caller.read_to_end();
    auto const took = net::now() - asked;
    entry_.set_targets({});
    CHECK(answer.find("id: 1\n") != std::string::npos);
    CHECK(!answer.ends_with(stream_end));
    // The target goes on for 5 s.
    CHECK(took < 2 * time_limit);
}
