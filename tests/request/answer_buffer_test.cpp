#include "src/request/answer_buffer.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;

TEST_GROUP(answer_buffer)
{
    static constexpr std::size_t most_bytes = 16;

    request::answer_buffer buffer_{most_bytes};
    int changes_ = 0;

    std::uint64_t listen()
    {
        return buffer_.subscribe([this] { ++changes_; });
    }
};

TEST(answer_buffer, gives_what_comes_after_an_event)
{
    CHECK(buffer_.append("one,"));
    CHECK(buffer_.append("two,"));
    auto const rest = buffer_.read_after(1);
    STRCMP_EQUAL("two,", rest.bytes_.c_str());
    CHECK_EQUAL(2, rest.last_);
    CHECK_FALSE(rest.end_.has_value());
    buffer_.finish({});
    CHECK(buffer_.read_after(2).end_.has_value());
}

TEST(answer_buffer, takes_no_more_than_its_limit)
{
    CHECK(buffer_.append("sixteen bytes..."));
    CHECK_FALSE(buffer_.append("x"));
    CHECK_EQUAL(1, buffer_.last_event());
}

TEST(answer_buffer, tells_each_change_to_each_listener)
{
    auto const first = listen();
    listen();
    buffer_.begin({});
    CHECK_EQUAL(2, changes_);
    CHECK(buffer_.append("x"));
    CHECK_EQUAL(4, changes_);
    buffer_.unsubscribe(first);
    buffer_.finish({});
    CHECK_EQUAL(5, changes_);
}

TEST(answer_buffer, tells_the_first_end_only)
{
    listen();
    buffer_.finish({request::outcome::complete, 0, {}, {}, {}});
    buffer_.finish({request::outcome::unknown, 0, {}, {}, {}});
    CHECK_EQUAL(1, changes_);
    CHECK(buffer_.end()->outcome_ == request::outcome::complete);
}
