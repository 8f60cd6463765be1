#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <atomic>

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

std::vector<step> answer_with(std::string const& request, int status,
                              std::string const& body)
{
    return {{action::send, complete_answer(request, status, body)}};
}

std::string const end_of_head = "\r\n\r\n";

} // namespace

TEST_GROUP(data_plane)
{
    entry_fixture entry_;

    std::string send_and_read(std::string const& request,
                              std::string const& until)
    {
        raw_caller caller{entry_.callers()};
        caller.send(request);
        return caller.read_until(until);
    }
};

TEST(data_plane, forwards_a_request_and_its_answer_byte_for_byte)
{
    scripted_target target{[](std::string const& r)
                           {
                               return answer_with(r, 200, "the body");
                           }};
    entry_.configure();
    entry_.set_targets({&target});
    auto const body = std::string{"GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"};
    auto const answer = send_and_read(
        entry_fixture::request("/plain/x?q=%20", body, "X-Other: y\r\n"),
        "the body");
    LONGS_EQUAL(200, status_of(answer));
    CHECK(answer.find("Tanagerlead-Server-Signature: proof\r\n") !=
          std::string::npos);
    LONGS_EQUAL(1, target.requests().size());
    auto const seen = target.requests()[0];
    CHECK(seen.starts_with("POST /plain/x?q=%20 HTTP/1.1\r\n"));
    STRCMP_EQUAL("y", header_value(seen, "X-Other").c_str());
    STRCMP_EQUAL("shop", header_value(seen, "Tanagerlead-Tenant").c_str());
    STRCMP_EQUAL("i-0",
                 header_value(seen, "Tanagerlead-Target-Instance").c_str());
    STRCMP_EQUAL("", header_value(seen, "X-Api-Key").c_str());
    CHECK(seen.ends_with(end_of_head + body));
}

TEST(data_plane, rejects_bad_input_without_forwarding_it)
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
                               return answer_with(r, 200, "ok");
                           }};
    entry_.configure();
    entry_.set_targets({&target});
    for (auto const& in : inputs)
    {
        LONGS_EQUAL_TEXT(in.status_,
                         status_of(send_and_read(in.bytes_, end_of_head)),
                         in.name_);
    }
    LONGS_EQUAL(0, target.requests().size());
    LONGS_EQUAL(
        200, status_of(send_and_read(entry_fixture::request("/plain/"), "ok")));
}

TEST(data_plane, forwards_a_chunked_body_with_a_content_length)
{
    scripted_target target{[](std::string const& r)
                           {
                               return answer_with(r, 200, "ok");
                           }};
    entry_.configure();
    entry_.set_targets({&target});
    auto const answer = send_and_read(
        "POST /plain/ HTTP/1.1\r\nHost: A.example:80\r\nX-Api-Key: k\r\n"
        "Tanagerlead-Request-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        "ok");
    LONGS_EQUAL(200, status_of(answer));
    CHECK(target.requests()[0].ends_with(end_of_head + "abcde"));
}

TEST(data_plane, rejects_requests_without_a_configuration)
{
    auto const answer =
        send_and_read(entry_fixture::request("/plain/"), end_of_head);
    LONGS_EQUAL(503, status_of(answer));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    raw_caller check{entry_.health()};
    check.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    LONGS_EQUAL(503, status_of(check.read_until(end_of_head)));
}

TEST(data_plane, keeps_the_caller_connection_open)
{
    scripted_target target{[](std::string const& r)
                           {
                               return answer_with(r, 200, "ok");
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

TEST(data_plane, answers_503_only_if_the_request_was_not_executed)
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
    auto const refused =
        send_and_read(entry_fixture::request("/once/"), end_of_head);
    LONGS_EQUAL(503, status_of(refused));
    CHECK(refused.find("Retry-After: ") != std::string::npos);

    scripted_target dying{[](std::string const&) -> std::vector<step>
                          {
                              return {{action::reset, ""}};
                          }};
    entry_.set_targets({&dying});
    LONGS_EQUAL(502, status_of(send_and_read(entry_fixture::request("/once/"),
                                             end_of_head)));
    LONGS_EQUAL(1, dying.requests().size());
}

TEST(data_plane, retries_an_idempotent_request_at_another_target)
{
    scripted_target dying{[](std::string const&) -> std::vector<step>
                          {
                              return {{action::close, ""}};
                          }};
    scripted_target sound{[](std::string const& r)
                          {
                              return answer_with(r, 200, "ok");
                          }};
    entry_.configure();
    entry_.set_targets({&dying, &sound});
    for (int i = 0; i < 4; ++i)
    {
        LONGS_EQUAL(200, status_of(send_and_read(
                             entry_fixture::request("/plain/"), "ok")));
    }
}

TEST(data_plane, answers_502_to_unsigned_altered_or_malformed_answers)
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
        auto const answer =
            send_and_read(entry_fixture::request("/once/"), end_of_head);
        LONGS_EQUAL_TEXT(502, status_of(answer), bytes.c_str());
    }
}

TEST(data_plane, skips_the_late_answer_to_another_request)
{
    auto const foreign = std::string{
        "HTTP/1.1 200 OK\r\nTanagerlead-Request-Id: q0\r\n"
        "Tanagerlead-Server-Signature: p\r\nContent-Length: 5\r\n\r\nwrong"};
    scripted_target target{
        [&](std::string const& r) -> std::vector<step>
        {
            return {{action::send, foreign + complete_answer(r, 200, "right")}};
        }};
    entry_.configure();
    entry_.set_targets({&target});
    auto const answer =
        send_and_read(entry_fixture::request("/once/"), "right");
    CHECK(answer.find("wrong") == std::string::npos);
    CHECK(answer.find("right") != std::string::npos);
}

TEST(data_plane, accepts_an_answer_that_ends_with_its_connection)
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
    LONGS_EQUAL(200, status_of(send_and_read(entry_fixture::request("/once/"),
                                             "up to the end")));
    scripted_target dying{
        [&](std::string const&) -> std::vector<step>
        {
            return {{action::send, head}, {action::reset, ""}};
        }};
    entry_.set_targets({&dying});
    LONGS_EQUAL(502, status_of(send_and_read(entry_fixture::request("/once/"),
                                             end_of_head)));
}

TEST(data_plane, forwards_events_and_ends_the_stream)
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
        send_and_read(entry_fixture::request("/flow/"), "\r\n" + stream_end);
    CHECK(answer.find("id: 1\n") < answer.find("id: 2\n"));
    CHECK(answer.ends_with(stream_end));
}

TEST(data_plane, resumes_a_broken_stream_at_another_target)
{
    auto const script = [](std::string const& r) -> std::vector<step>
    {
        if (header_value(r, "Last-Event-Id").empty())
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
        send_and_read(entry_fixture::request("/stream/"), "\r\n" + stream_end);
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

TEST(data_plane, does_not_terminate_a_truncated_stream)
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

TEST(data_plane, closes_the_target_connection_when_the_caller_disconnects)
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
    while (!target.has_peer_closed())
    {
        std::this_thread::yield();
    }
}

TEST(data_plane, answers_504_at_the_timeout_of_the_route)
{
    scripted_target silent{[](std::string const&) -> std::vector<step>
                           {
                               return {{action::wait_for_peer, ""}};
                           }};
    entry_.configure(std::chrono::milliseconds{200});
    entry_.set_targets({&silent});
    LONGS_EQUAL(504, status_of(send_and_read(entry_fixture::request("/once/"),
                                             end_of_head)));
}

TEST(data_plane, a_graceful_shutdown_finishes_running_requests)
{
    std::promise<void> release;
    auto released = release.get_future().share();
    scripted_target target{[released](std::string const& r) -> std::vector<step>
                           {
                               released.wait();
                               return answer_with(r, 200, "finished");
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
    entry_.on_loop([&]
                   { entry_.daemon().shut_down([&] { left.set_value(); }); });
    raw_caller check{entry_.health()};
    check.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    LONGS_EQUAL(503, status_of(check.read_until(end_of_head)));
    release.set_value();
    auto const answer = caller.read_to_end();
    LONGS_EQUAL(200, status_of(answer));
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    left.get_future().wait();
}

namespace
{

std::string with_field(std::string answer, std::string const& field)
{
    auto const end_of_line = answer.find("\r\n") + 2;
    return answer.insert(end_of_line, field + "\r\n");
}

std::string not_executed(std::string const& request, std::string const& field)
{
    return "HTTP/1.1 503 X\r\nTanagerlead-Request-Id: " +
           header_value(request, "Tanagerlead-Request-Id") +
           "\r\nTanagerlead-Not-Executed: 1\r\n" + field +
           "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

TEST(data_plane, sends_nothing_to_a_target_that_announced_its_shutdown)
{
    struct input
    {
        char const* name_;
        std::function<std::string(std::string const&)> answer_;
    };
    input const inputs[] = {
        {"success",
         [](std::string const& r)
         {
             return with_field(complete_answer(r, 200, "ok"),
                               "Server-Leaving: 1");
         }},
        {"failure",
         [](std::string const& r)
         {
             return with_field(complete_answer(r, 500, "no"),
                               "Server-Leaving: 1");
         }},
        {"refusal",
         [](std::string const& r)
         {
             return not_executed(r, "Server-Leaving: 1");
         }},
        {"stream",
         [](std::string const& r)
         {
             return with_field(stream_head(r), "Server-Leaving: 1") +
                    event_chunk(1) + stream_end;
         }},
    };
    for (auto const& in : inputs)
    {
        entry_fixture entry;
        scripted_target leaving{[&](std::string const& r) -> std::vector<step>
                                {
                                    return {{action::send, in.answer_(r)}};
                                }};
        entry.configure();
        entry.set_targets({&leaving});
        auto const path =
            std::string{in.name_} == "stream" ? "/flow/" : "/once/";
        {
            raw_caller caller{entry.callers()};
            caller.send(entry_fixture::request(path));
            caller.read_until(end_of_head);
        }
        for (int i = 0; i < 3; ++i)
        {
            raw_caller caller{entry.callers()};
            caller.send(entry_fixture::request("/once/"));
            auto const answer = caller.read_until(end_of_head);
            CHECK_TEXT(status_of(answer) == 503, in.name_);
        }
        CHECK_TEXT(leaving.requests().size() == 1, in.name_);
    }
}

TEST(data_plane, a_target_that_asks_for_a_pause_gets_one)
{
    scripted_target pausing{
        [](std::string const& r) -> std::vector<step>
        {
            return {{action::send, not_executed(r, "Retry-After: 1")}};
        }};
    entry_.configure();
    entry_.set_targets({&pausing});
    // The caller hears when the target wants requests again.
    auto const refused =
        send_and_read(entry_fixture::request("/plain/"), end_of_head);
    LONGS_EQUAL(503, status_of(refused));
    auto const wait = std::stod(header_value(refused, "Retry-After"));
    CHECK(wait > 0.9 && wait < 2);
    for (int i = 0; i < 3; ++i)
    {
        auto const again = send_and_read(
            "POST /plain/ HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k\r\n"
            "Tanagerlead-Request-Id: q2\r\nTanagerlead-Deadline-Ms: 300\r\n"
            "Content-Length: 0\r\n\r\n",
            end_of_head);
        LONGS_EQUAL(503, status_of(again));
    }
    LONGS_EQUAL(1, pausing.requests().size());
    // Another target takes the work meanwhile.
    scripted_target ready{[](std::string const& r)
                          {
                              return answer_with(r, 200, "ok");
                          }};
    entry_.set_targets({&pausing, &ready});
    LONGS_EQUAL(
        200, status_of(send_and_read(entry_fixture::request("/once/"), "ok")));
    LONGS_EQUAL(1, pausing.requests().size());
}

TEST(data_plane, a_target_gets_no_more_than_the_limit_that_it_names)
{
    scripted_target limited{
        [](std::string const& r) -> std::vector<step>
        {
            return {{action::send, with_field(complete_answer(r, 200, "ok"),
                                              "Server-Limit: 0.2")}};
        }};
    entry_.configure();
    entry_.set_targets({&limited});
    std::string answer;
    for (int i = 0; i < 12; ++i)
    {
        answer = send_and_read(entry_fixture::request("/plain/"), end_of_head);
    }
    CHECK(limited.requests().size() <= 4);
    LONGS_EQUAL(503, status_of(answer));
    // The next request may come in 5 s.
    auto const retry_after = header_value(answer, "Retry-After");
    CHECK(std::stod(retry_after) > 1.0);
}

TEST(data_plane, a_malformed_limit_does_not_lift_the_one_before)
{
    std::atomic<int> answered{0};
    scripted_target limited{
        [&answered](std::string const& r) -> std::vector<step>
        {
            auto const* const field =
                answered++ == 0 ? "Server-Limit: 0.2" : "Server-Limit: much";
            return {{action::send,
                     with_field(complete_answer(r, 200, "ok"), field)}};
        }};
    entry_.configure();
    entry_.set_targets({&limited});
    for (int i = 0; i < 12; ++i)
    {
        send_and_read(entry_fixture::request("/plain/"), end_of_head);
    }
    CHECK(limited.requests().size() <= 4);
}

TEST(data_plane, a_target_without_a_limit_any_more_gets_all_requests)
{
    std::atomic<int> answered{0};
    scripted_target target{
        [&answered](std::string const& r) -> std::vector<step>
        {
            auto answer = complete_answer(r, 200, "ok");
            return {{action::send, answered++ == 0
                                       ? with_field(answer, "Server-Limit: 20")
                                       : answer}};
        }};
    entry_.configure();
    entry_.set_targets({&target});
    for (int i = 0; i < 12; ++i)
    {
        LONGS_EQUAL(200, status_of(send_and_read(
                             entry_fixture::request("/plain/"), end_of_head)));
    }
}

TEST(data_plane, ignores_a_malformed_pause)
{
    for (auto const* const value : {"-1", "soon", "1e9", ""})
    {
        entry_fixture entry;
        scripted_target target{
            [&](std::string const& r) -> std::vector<step>
            {
                return {
                    {action::send,
                     not_executed(r, std::string{"Retry-After: "} + value)}};
            }};
        entry.configure();
        entry.set_targets({&target});
        for (std::size_t i = 1; i <= 2; ++i)
        {
            raw_caller caller{entry.callers()};
            caller.send(entry_fixture::request("/once/"));
            LONGS_EQUAL(503, status_of(caller.read_until(end_of_head)));
            CHECK_TEXT(target.requests().size() == i, value);
        }
    }
}
