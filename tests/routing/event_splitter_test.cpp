#include "src/routing/event_splitter.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace tanagerlead::routing;

namespace
{

std::string const stream = "weights: 3\nid: 1\ndata: a\n\n"
                           ": note\n\n"
                           "id:2\r\ndata: b\r\n\r\n"
                           "data: id: 9\nid: 3\n\n";

struct split_result
{
    std::string bytes_;
    std::vector<std::optional<std::uint64_t>> ids_;
};

void drain(event_splitter& events, split_result& out)
{
    while (auto const event = events.next())
    {
        out.bytes_.append(event->bytes_);
        out.ids_.push_back(event->id_);
    }
}

void check(split_result const& got)
{
    STRCMP_EQUAL(stream.c_str(), got.bytes_.c_str());
    LONGS_EQUAL(4, got.ids_.size());
    CHECK(got.ids_[0] == 1);
    CHECK(!got.ids_[1]);
    CHECK(got.ids_[2] == 2);
    CHECK(got.ids_[3] == 3);
}

} // namespace

TEST_GROUP(event_splitter){};

TEST(event_splitter, keeps_every_byte_wherever_the_stream_is_cut)
{
    for (std::size_t cut = 0; cut <= stream.size(); ++cut)
    {
        event_splitter events;
        split_result got;
        events.feed(std::string_view{stream}.substr(0, cut));
        drain(events, got);
        events.feed(std::string_view{stream}.substr(cut));
        drain(events, got);
        check(got);
        CHECK(!events.has_partial_event());
    }
}

TEST(event_splitter, accepts_single_bytes)
{
    event_splitter events;
    split_result got;
    for (auto const c : stream)
    {
        events.feed({&c, 1});
        drain(events, got);
    }
    check(got);
}

TEST(event_splitter, withholds_an_incomplete_event)
{
    event_splitter events;
    events.feed("id: 1\ndata: half");
    CHECK(!events.next());
    CHECK(events.has_partial_event());
    STRCMP_EQUAL("id: 1\ndata: half",
                 std::string{events.partial_event()}.c_str());
}

TEST(event_splitter, ignores_ids_that_are_not_numbers)
{
    event_splitter events;
    events.feed("id: 1x\n\nid: \n\nid: 99999999999999999999999\n\n");
    for (int i = 0; i < 3; ++i)
    {
        auto const event = events.next();
        CHECK(event.has_value());
        CHECK(!event->id_);
    }
}
