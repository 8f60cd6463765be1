#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

using step = answer_step;
using action = answer_step::action;

int status_of(std::string const& answer)
{
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

std::vector<step> whole(std::string const& request, int status,
                        std::string const& body)
{
    return {{action::send, whole_answer(request, status, body)}};
}

std::string const end_of_head = "\r\n\r\n";

} // namespace

TEST_GROUP(traffic)
{
    entry_fixture entry_;

    std::string ask(std::string const& request, std::string const& until)
    {
        raw_caller caller{entry_.callers()};
        caller.send(request);
        return caller.read_until(until);
    }
};

TEST(traffic, passes_a_request_and_its_answer_byte_for_byte)
{
    scripted_target target{[](std::string const& r)
                           {
                               return whole(r, 200, "the body");
                           }};
    entry_.configure();
    entry_.set_targets({&target});
    auto const body = std::string{"GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"};
    auto const answer =
        ask(entry_fixture::request("/plain/x?q=%20", body, "X-Other: y\r\n"),
            "the body");
    LONGS_EQUAL(200, status_of(answer));
    CHECK(answer.find("Tanagerlead-Server-Signature: proof\r\n") !=
          std::string::npos);
    LONGS_EQUAL(1, target.requests().size());
    auto const seen = target.requests()[0];
    CHECK(seen.starts_with("POST /plain/x?q=%20 HTTP/1.1\r\n"));
    STRCMP_EQUAL("y", field_of(seen, "X-Other").c_str());
    STRCMP_EQUAL("shop", field_of(seen, "Tanagerlead-Tenant").c_str());
    STRCMP_EQUAL("i-0", field_of(seen, "Tanagerlead-Target-Instance").c_str());
    STRCMP_EQUAL("", field_of(seen, "X-Api-Key").c_str());
    CHECK(seen.ends_with(end_of_head + body));
}

TEST(traffic, answers_bad_input_and_passes_none_of_it_on)
{
    struct input
    {
        char const* name_;
        std::string bytes_;
        int status_;
    };
    auto const head = std::string{"POST /plain/ HTTP/1.1\r\n"};
    auto const host = std::string{"Host: a.example\r\nX-Api-Key: k\r\n"};
    std::vector<input> const inputs{
        {"no host", head + end_of_head, 400},
        {"two hosts",
         head + host + "Host: b\r\nContent-Length: 0" + end_of_head, 400},
        {"two lengths",
         head + host +
             "Content-Length: 1\r\n"
             "Content-Length: 2" +
             end_of_head + "ab",
         400},
        {"length beside chunks",
         head + host + "Content-Length: 3\r\nTransfer-Encoding: chunked" +
             end_of_head + "0\r\n\r\n",
         400},
        {"another coding",
         head + host + "Transfer-Encoding: gzip, chunked" + end_of_head +
             "0\r\n\r\n",
         400},
        {"a negative length", head + host + "Content-Length: -1" + end_of_head,
         400},
        {"no request", "\x16\x03\x01 nonsense\r\n\r\n", 400},
        {"an old protocol", "GET /plain/ HTTP/1.0\r\n" + host + "\r\n", 400},
        {"a large head",
         head + host + "X: " + std::string(9000, 'a') + end_of_head, 431},
        {"a large body", head + host + "Content-Length: 9000" + end_of_head,
         413},
        {"a malformed time",
         head + host +
             "Tanagerlead-Deadline-Ms: x\r\n"
             "Content-Length: 0" +
             end_of_head,
         400},
        {"an unknown host", "GET /plain/ HTTP/1.1\r\nHost: b\r\n\r\n", 404},
        {"an unknown path", "GET /other/ HTTP/1.1\r\nHost: a.example\r\n\r\n",
         404},
        {"a wrong key",
         "GET /plain/ HTTP/1.1\r\nHost: a.example\r\n"
         "X-Api-Key: z\r\n\r\n",
         401},
    };
    scripted_target target{[](std::string const& r)
                           {
                               return whole(r, 200, "ok");
                           }};
    entry_.configure();
    entry_.set_targets({&target});
    for (auto const& in : inputs)
    {
        LONGS_EQUAL_TEXT(in.status_, status_of(ask(in.bytes_, end_of_head)),
                         in.name_);
    }
    LONGS_EQUAL(0, target.requests().size());
    LONGS_EQUAL(200, status_of(ask(entry_fixture::request("/plain/"), "ok")));
}

TEST(traffic, takes_a_body_in_chunks_and_gives_it_a_length)
{
    scripted_target target{[](std::string const& r)
                           {
                               return whole(r, 200, "ok");
                           }};
    entry_.configure();
    entry_.set_targets({&target});
    auto const answer =
        ask("POST /plain/ HTTP/1.1\r\nHost: A.example:80\r\nX-Api-Key: k\r\n"
            "Tanagerlead-Request-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            "ok");
    LONGS_EQUAL(200, status_of(answer));
    CHECK(target.requests()[0].ends_with(end_of_head + "abcde"));
}

TEST(traffic, says_not_run_before_it_has_a_configuration)
{
    auto const answer = ask(entry_fixture::request("/plain/"), end_of_head);
    LONGS_EQUAL(503, status_of(answer));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    raw_caller check{entry_.health()};
    check.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    LONGS_EQUAL(503, status_of(check.read_until(end_of_head)));
}

TEST(traffic, keeps_a_connection_for_further_requests)
{
    scripted_target target{[](std::string const& r)
                           {
                               return whole(r, 200, "ok");
                           }};
    entry_.configure();
    entry_.set_targets({&target});
    raw_caller caller{entry_.callers()};
    caller.send(entry_fixture::request("/plain/1"));
    caller.read_until("ok");
    caller.send(entry_fixture::request("/plain/2"));
    auto const both = caller.read_until("ok" + std::string{"HTTP"});
    CHECK(both.rfind("HTTP/1.1 200") > 0);
    LONGS_EQUAL(2, target.requests().size());
}

TEST(traffic, says_not_run_only_of_what_has_not_run)
{
    scripted_target rejecting{
        [](std::string const&) -> std::vector<step>
        {
            return {{action::send,
                     "HTTP/1.1 503 X\r\nTanagerlead-Request-Id: q1\r\n"
                     "Tanagerlead-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n"}};
        }};
    entry_.configure();
    entry_.set_targets({&rejecting});
    auto const refused = ask(entry_fixture::request("/once/"), end_of_head);
    LONGS_EQUAL(503, status_of(refused));
    CHECK(refused.find("Retry-After: ") != std::string::npos);

    scripted_target dying{[](std::string const&) -> std::vector<step>
                          {
                              return {{action::reset, ""}};
                          }};
    entry_.set_targets({&dying});
    LONGS_EQUAL(502,
                status_of(ask(entry_fixture::request("/once/"), end_of_head)));
    LONGS_EQUAL(1, dying.requests().size());
}

TEST(traffic, repeats_what_may_be_repeated_at_another_target)
{
    scripted_target dying{[](std::string const&) -> std::vector<step>
                          {
                              return {{action::close, ""}};
                          }};
    scripted_target sound{[](std::string const& r)
                          {
                              return whole(r, 200, "ok");
                          }};
    entry_.configure();
    entry_.set_targets({&dying, &sound});
    for (int i = 0; i < 4; ++i)
    {
        LONGS_EQUAL(200,
                    status_of(ask(entry_fixture::request("/plain/"), "ok")));
    }
}

TEST(traffic, passes_no_success_that_its_target_does_not_vouch_for)
{
    auto const head = std::string{"HTTP/1.1 200 OK\r\n"
                                  "Tanagerlead-Request-Id: q1\r\n"};
    auto const proof = std::string{"Tanagerlead-Server-Signature: p\r\n"};
    auto const body = std::string{"Content-Length: 2\r\n\r\nok"};
    std::vector<std::string> const answers{
        head + body,
        head + proof + "Content-Encoding: gzip\r\n" + body,
        head + proof + "Content-Length: 9\r\n\r\nok",
        head + proof + "Content-Length: 3\r\n" + body,
        "no answer at all\r\n\r\n",
    };
    entry_.configure();
    for (auto const& bytes : answers)
    {
        scripted_target target{
            [&](std::string const&) -> std::vector<step>
            {
                return {{action::send, bytes}, {action::close, ""}};
            }};
        entry_.set_targets({&target});
        auto const answer = ask(entry_fixture::request("/once/"), end_of_head);
        LONGS_EQUAL_TEXT(502, status_of(answer), bytes.c_str());
    }
}

TEST(traffic, passes_over_the_late_answer_of_another_request)
{
    auto const foreign = std::string{
        "HTTP/1.1 200 OK\r\nTanagerlead-Request-Id: q0\r\n"
        "Tanagerlead-Server-Signature: p\r\nContent-Length: 5\r\n\r\nwrong"};
    scripted_target target{
        [&](std::string const& r) -> std::vector<step>
        {
            return {{action::send, foreign + whole_answer(r, 200, "right")}};
        }};
    entry_.configure();
    entry_.set_targets({&target});
    auto const answer = ask(entry_fixture::request("/once/"), "right");
    CHECK(answer.find("wrong") == std::string::npos);
    CHECK(answer.find("right") != std::string::npos);
}

TEST(traffic, takes_an_answer_up_to_the_end_of_its_connection)
{
    auto const head =
        std::string{"HTTP/1.1 200 OK\r\nTanagerlead-Request-Id: q1\r\n"
                    "Tanagerlead-Server-Signature: p\r\n\r\nup to the end"};
    scripted_target ending{
        [&](std::string const&) -> std::vector<step>
        {
            return {{action::send, head}, {action::close, ""}};
        }};
    entry_.configure();
    entry_.set_targets({&ending});
    LONGS_EQUAL(
        200, status_of(ask(entry_fixture::request("/once/"), "up to the end")));
    scripted_target dying{
        [&](std::string const&) -> std::vector<step>
        {
            return {{action::send, head}, {action::reset, ""}};
        }};
    entry_.set_targets({&dying});
    LONGS_EQUAL(502,
                status_of(ask(entry_fixture::request("/once/"), end_of_head)));
}

TEST(traffic, passes_events_on_and_ends_the_stream)
{
    scripted_target target{
        [](std::string const& r) -> std::vector<step>
        {
            return {{action::send, stream_head(r) + event_chunk(1)},
                    {action::send, event_chunk(2) + stream_end}};
        }};
    entry_.configure();
    entry_.set_targets({&target});
    auto const answer =
        ask(entry_fixture::request("/flow/"), "\r\n" + stream_end);
    CHECK(answer.find("id: 1\n") < answer.find("id: 2\n"));
    CHECK(answer.ends_with(stream_end));
}

TEST(traffic, goes_on_with_a_broken_stream_at_another_target)
{
    auto const script = [](std::string const& r) -> std::vector<step>
    {
        if (field_of(r, "Last-Event-Id").empty())
        {
            return {{action::send, stream_head(r) + event_chunk(1) +
                                       event_chunk(2) + "40\r\nid: 3\nda"},
                    {action::reset, ""}};
        }
        return {{action::send, stream_head(r) + event_chunk(2) +
                                   event_chunk(3) + event_chunk(4) +
                                   stream_end}};
    };
    scripted_target first{script};
    scripted_target second{script};
    entry_.configure();
    entry_.set_targets({&first, &second});
    auto const answer =
        ask(entry_fixture::request("/stream/"), "\r\n" + stream_end);
    for (int id = 1; id <= 4; ++id)
    {
        auto const event = "id: " + std::to_string(id) + "\n";
        auto const at = answer.find(event);
        CHECK(at != std::string::npos);
        CHECK(answer.find(event, at + 1) == std::string::npos);
    }
    CHECK(answer.ends_with(stream_end));
    CHECK(answer.find("HTTP/1.1 200") == answer.rfind("HTTP/1.1"));
}

TEST(traffic, does_not_make_a_cut_stream_look_complete)
{
    scripted_target dying{
        [](std::string const& r) -> std::vector<step>
        {
            return {{action::send, stream_head(r) + event_chunk(1)},
                    {action::reset, ""}};
        }};
    entry_.configure();
    entry_.set_targets({&dying});
    raw_caller caller{entry_.callers()};
    caller.send(entry_fixture::request("/flow/"));
    auto const answer = caller.read_to_end();
    CHECK(answer.find("id: 1\n") != std::string::npos);
    CHECK(!answer.ends_with(stream_end));
}

TEST(traffic, stops_the_target_when_the_caller_leaves)
{
    scripted_target target{
        [](std::string const& r) -> std::vector<step>
        {
            return {{action::send, stream_head(r) + event_chunk(1)},
                    {action::wait_for_peer, ""}};
        }};
    entry_.configure();
    entry_.set_targets({&target});
    {
        raw_caller caller{entry_.callers()};
        caller.send(entry_fixture::request("/flow/"));
        caller.read_until("id: 1\n");
    }
    while (!target.peer_left())
    {
        std::this_thread::yield();
    }
}

TEST(traffic, answers_at_the_time_limit_of_the_route)
{
    scripted_target silent{[](std::string const&) -> std::vector<step>
                           {
                               return {{action::wait_for_peer, ""}};
                           }};
    entry_.configure(std::chrono::milliseconds{200});
    entry_.set_targets({&silent});
    LONGS_EQUAL(504,
                status_of(ask(entry_fixture::request("/once/"), end_of_head)));
}

TEST(traffic, a_planned_stop_finishes_what_is_under_way)
{
    std::promise<void> release;
    auto released = release.get_future().share();
    scripted_target target{[released](std::string const& r) -> std::vector<step>
                           {
                               released.wait();
                               return whole(r, 200, "finished");
                           }};
    entry_.configure();
    entry_.set_targets({&target});
    raw_caller caller{entry_.callers()};
    caller.send(entry_fixture::request("/once/"));
    while (target.requests().empty())
    {
        std::this_thread::yield();
    }
    std::promise<void> left;
    entry_.on_loop([&] { entry_.daemon().leave([&] { left.set_value(); }); });
    raw_caller check{entry_.health()};
    check.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    LONGS_EQUAL(503, status_of(check.read_until(end_of_head)));
    release.set_value();
    auto const answer = caller.read_to_end();
    LONGS_EQUAL(200, status_of(answer));
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    left.get_future().wait();
}
