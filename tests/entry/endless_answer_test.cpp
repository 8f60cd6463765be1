#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

using step = answer_step;
using action = answer_step::action;

/// More than the socket buffers of both ends and the largest answer.
constexpr std::size_t max_endless_bytes = 64U << 20U;

std::string head(std::string const& request, std::string const& framing)
{
    return "HTTP/1.1 200 OK\r\nTanagerlead-Request-Id: " +
           header_value(request, "Tanagerlead-Request-Id") +
           "\r\nTanagerlead-Server-Signature: proof\r\n" + framing + "\r\n";
}

std::string many(char byte)
{
    constexpr std::size_t count = 4096;
    return std::string(count, byte);
}

struct input
{
    char const* name_;
    char const* route_;
    /// What is sent once, from the request.
    std::function<std::string(std::string const&)> begin_;
    std::string endless_;
};

std::string nothing(std::string const&)
{
    return {};
}

std::vector<input> const inputs{
    {"status line", "/once/",
     [](std::string const&) { return std::string{"HTTP/1.1 200 "}; },
     many('x')},
    {"field", "/once/",
     [](std::string const&) { return std::string{"HTTP/1.1 200 OK\r\nX: "}; },
     many('x')},
    {"fields", "/once/",
     [](std::string const&) { return std::string{"HTTP/1.1 200 OK\r\n"}; },
     "X: y\r\n"},
    {"interim answers", "/once/", nothing, "HTTP/1.1 100 Continue\r\n\r\n"},
    {"answers to another request", "/once/", nothing,
     "HTTP/1.1 200 OK\r\nTanagerlead-Request-Id: other\r\n"
     "Content-Length: 2\r\n\r\nno"},
    {"body of an answer to another request", "/once/",
     [](std::string const&)
     {
         return std::string{"HTTP/1.1 200 OK\r\nTanagerlead-Request-Id: other"
                            "\r\nTransfer-Encoding: chunked\r\n\r\n"};
     },
     "4\r\nmore\r\n"},
    {"chunk extension", "/once/",
     [](std::string const& r)
     { return head(r, "Transfer-Encoding: chunked\r\n") + "5;x="; },
     many('x')},
    {"trailer", "/once/",
     [](std::string const& r)
     { return head(r, "Transfer-Encoding: chunked\r\n") + "0\r\nX: "; },
     many('x')},
    {"chunks", "/once/",
     [](std::string const& r)
     { return head(r, "Transfer-Encoding: chunked\r\n"); },
     "1000\r\n" + many('x') + "\r\n"},
    {"body without a length", "/once/",
     [](std::string const& r) { return head(r, ""); }, many('x')},
    {"event", "/flow/",
     [](std::string const& r)
     { return head(r, "Transfer-Encoding: chunked\r\n"); },
     "1000\r\n" + many('x') + "\r\n"},
    {"bytes that are no answer", "/once/", nothing, many('\0')},
};

} // namespace

TEST_GROUP(endless_answer)
{
    entry_fixture entry_;
};

TEST(endless_answer, an_endless_line_before_a_chunk_of_a_request_is_rejected)
{
    entry_.configure();
    raw_caller caller{entry_.callers()};
    caller.send("POST /plain/ HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k\r\n"
                "Tanagerlead-Request-Id: q1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n5;x=" +
                std::string(1U << 18U, 'x'));
    CHECK(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 431"));
}

TEST(endless_answer, is_cut_off_and_its_caller_answered_at_once)
{
    entry_.configure();
    for (auto const& in : inputs)
    {
        scripted_target target{[&in](std::string const& r) -> std::vector<step>
                               {
                                   return {
                                       {action::send, in.begin_(r)},
                                       {action::send_without_end, in.endless_}};
                               }};
        entry_.set_targets({&target});
        raw_caller caller{entry_.callers()};
        caller.send(entry_fixture::request(in.route_));
        auto const answer = caller.read_until("\r\n\r\n");
        // 504 would be the answer at the end of the time limit.
        CHECK_TEXT(answer.starts_with("HTTP/1.1 502"), in.name_);
        while (!target.has_peer_closed())
        {
            std::this_thread::yield();
        }
        CHECK_TEXT(target.endless_bytes() < max_endless_bytes, in.name_);
    }
    entry_.on_loop([this]
                   { LONGS_EQUAL(0, entry_.daemon().answer_budget().used()); });
}
