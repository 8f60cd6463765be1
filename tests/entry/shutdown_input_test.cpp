#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

TEST_GROUP(shutdown_input)
{
    scripted_target target_{
        [](std::string const& request) -> std::vector<answer_step>
        {
            return {{answer_step::action::send,
                     complete_answer(request, 200,
                                     header_value(request, "X-Number"))}};
        }};

    static std::string numbered(std::string const& number)
    {
        return entry_fixture::request("/once/", "the body",
                                      "X-Number: " + number + "\r\n");
    }

    /// Waits until the daemon has read what callers sent before.
    static void wait_for_reading(entry_fixture & entry)
    {
        raw_caller check{entry.health()};
        check.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        check.read_until("\r\n\r\n");
    }
};

TEST(shutdown_input, a_request_that_has_begun_to_arrive_is_served)
{
    auto const second = numbered("second");
    // Inside the first line, inside the head, and before the last byte.
    for (auto const cut : {std::size_t{5}, std::size_t{60}, second.size() - 1})
    {
        entry_fixture entry;
        entry.configure();
        entry.set_targets({&target_});
        raw_caller caller{entry.callers()};
        caller.send(numbered("first"));
        caller.read_until("first");
        caller.send(second.substr(0, cut));
        wait_for_reading(entry);
        entry.on_loop([&] { entry.daemon().shut_down([] {}); });
        caller.send(second.substr(cut));
        auto const answer = caller.read_to_end();
        CHECK_TEXT(answer.ends_with("second"), answer.c_str());
        entry.set_targets({});
    }
}
