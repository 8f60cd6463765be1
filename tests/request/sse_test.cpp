#include "src/request/sse.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead::request;

namespace
{

std::string parse_in_pieces(std::string const& text, std::size_t piece)
{
    sse_parser parser{1000};
    std::vector<sse_event> events;
    for (std::size_t at = 0; at < text.size(); at += piece)
    {
        CHECK(parser.feed(text.substr(at, piece), events));
    }
    std::string out;
    for (auto const& event : events)
    {
        out += serialize(event);
    }
    return out;
}

} // namespace

TEST_GROUP(sse){};

TEST(sse, any_split_of_bytes_gives_the_same_events)
{
    std::string const text = ": comment\r\nid: 1\r\ndata: a\r\n\r\n"
                             "event: x\ndata:b\ndata: c\n\n"
                             "id: 3\n\ndata\n\nid: z\rdata: d\r\rdata: cut";
    std::string const expected = "id: 1\ndata: a\n\n"
                                 "event: x\ndata: b\ndata: c\n\n"
                                 "data: \n\ndata: d\n\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece)
    {
        STRCMP_EQUAL(expected.c_str(), parse_in_pieces(text, piece).c_str());
    }
}

TEST(sse, an_event_past_the_limit_is_refused)
{
    for (auto const* text : {"data: 123456789", "data: 12345\ndata: 6789\n"})
    {
        sse_parser parser{12};
        std::vector<sse_event> events;
        CHECK_FALSE(parser.feed(text, events));
    }
}
