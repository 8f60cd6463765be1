#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

using step = answer_step;
using action = answer_step::action;

/// How the target marks the end of its answer.
struct framing
{
    char const* name_;
    /// Header field; none if the answer ends with its connection.
    std::function<std::string(std::string const& body)> field_;
    std::function<std::string(std::string const& body)> encode_;
};

std::string one_chunk(std::string const& body)
{
    std::array<char, 16> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx", body.size());
    return std::string{size.data()} + "\r\n" + body + "\r\n" + stream_end;
}

std::string as_is(std::string const& body)
{
    return body;
}

std::vector<framing> const framings{
    {"close", [](std::string const&) { return std::string{}; }, as_is},
    {"chunks",
     [](std::string const&)
     { return std::string{"Transfer-Encoding: chunked\r\n"}; },
     one_chunk},
    {"length",
     [](std::string const& body)
     { return "Content-Length: " + std::to_string(body.size()) + "\r\n"; },
     as_is},
};

std::string const first_event = "id: 1\ndata: x\n\n";
std::string const second_event = "id: 2\ndata: x\n\n";

std::vector<std::string> const partial_events{"i", "id: 2\nda",
                                              "id: 2\ndata: x\n"};

std::vector<step> answer_in(framing const& how, std::string const& request,
                            std::string const& body)
{
    return {{action::send, "HTTP/1.1 200 OK\r\nTanagerlead-Request-Id: " +
                               header_value(request, "Tanagerlead-Request-Id") +
                               "\r\nTanagerlead-Server-Signature: proof\r\n"
                               "Content-Type: text/event-stream\r\n" +
                               how.field_(body) + "\r\n" + how.encode_(body)},
            {action::close, ""}};
}

std::string text_of(framing const& how, std::string const& body)
{
    return how.name_ + std::string{": "} + body;
}

} // namespace

TEST_GROUP(stream_end)
{
    entry_fixture entry_;

    std::string answer_to(std::string const& path)
    {
        return answer_to(entry_, path);
    }

    static std::string answer_to(entry_fixture & entry, std::string const& path)
    {
        raw_caller caller{entry.callers()};
        caller.send(entry_fixture::request(path, "", "Connection: close\r\n"));
        return caller.read_to_end();
    }
};

TEST(stream_end, a_stream_broken_off_inside_an_event_is_not_framed_as_complete)
{
    entry_.configure();
    for (auto const& how : framings)
    {
        for (auto const& partial : partial_events)
        {
            scripted_target target{[&](std::string const& r)
                                   {
                                       return answer_in(how, r,
                                                        first_event + partial);
                                   }};
            entry_.set_targets({&target});
            auto const answer = answer_to("/flow/");
            auto const text = text_of(how, partial);
            CHECK_TEXT(answer.starts_with("HTTP/1.1 200"), text.c_str());
            CHECK_TEXT(!answer.ends_with(stream_end), text.c_str());
        }
    }
}

TEST(stream_end, a_stream_broken_off_inside_an_event_is_resumed_after_its_last)
{
    for (auto const& how : framings)
    {
        // Its retry budget is fresh.
        entry_fixture entry;
        entry.configure();
        for (auto const& partial : partial_events)
        {
            auto const script = [&](std::string const& r)
            {
                auto const resumed = header_value(r, "Last-Event-Id") == "1";
                return answer_in(
                    how, r, resumed ? second_event : first_event + partial);
            };
            scripted_target first{script};
            scripted_target second{script};
            entry.set_targets({&first, &second});
            auto const answer = answer_to(entry, "/stream/");
            auto const text = text_of(how, partial);
            CHECK_TEXT(answer.ends_with("\r\n" + stream_end), text.c_str());
            auto const at = answer.find(second_event);
            CHECK_TEXT(at != std::string::npos, text.c_str());
            CHECK_TEXT(answer.find("id: 2", at + 1) == std::string::npos,
                       text.c_str());
            LONGS_EQUAL_TEXT(2,
                             first.requests().size() + second.requests().size(),
                             text.c_str());
        }
    }
}

TEST(stream_end, a_buffered_stream_broken_off_inside_an_event_is_not_forwarded)
{
    entry_.configure();
    for (auto const& how : framings)
    {
        scripted_target target{
            [&](std::string const& r)
            {
                return answer_in(how, r, first_event + partial_events.back());
            }};
        entry_.set_targets({&target});
        CHECK_TEXT(answer_to("/once/").starts_with("HTTP/1.1 502"), how.name_);
    }
}

TEST(stream_end, an_answer_of_another_type_is_forwarded_on_a_stream_route)
{
    entry_.configure();
    scripted_target target{
        [](std::string const& r)
        {
            auto text = complete_answer(r, 200, "{}");
            text.insert(text.find("Content-Length"),
                        "Content-Type: application/json\r\n");
            return std::vector<step>{{action::send, text}};
        }};
    entry_.set_targets({&target});
    CHECK(answer_to("/flow/").ends_with("\r\n\r\n{}"));
}

TEST(stream_end, a_stream_of_whole_events_may_end_with_its_connection)
{
    entry_.configure();
    for (auto const& how : framings)
    {
        scripted_target target{[&](std::string const& r)
                               {
                                   return answer_in(how, r,
                                                    first_event + second_event);
                               }};
        entry_.set_targets({&target});
        auto const answer = answer_to("/flow/");
        CHECK_TEXT(answer.find(second_event) != std::string::npos, how.name_);
        CHECK_TEXT(answer.ends_with("\r\n" + stream_end), how.name_);
    }
}

TEST(stream_end, a_connection_closed_before_any_event_is_not_an_empty_stream)
{
    entry_.configure();
    scripted_target target{[](std::string const& r)
                           {
                               return answer_in(framings.front(), r, "");
                           }};
    entry_.set_targets({&target});
    CHECK(answer_to("/flow/").starts_with("HTTP/1.1 502"));
}

TEST(stream_end, a_reset_after_a_whole_event_is_not_the_end_of_a_stream)
{
    entry_.configure();
    scripted_target target{[](std::string const& r)
                           {
                               auto steps =
                                   answer_in(framings.front(), r, first_event);
                               steps.back().action_ = action::reset;
                               return steps;
                           }};
    entry_.set_targets({&target});
    CHECK(!answer_to("/flow/").ends_with(stream_end));
}
