#include "src/request/request_record.hpp"
#include "src/request/request_state.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::request;
using namespace std::chrono_literals;

namespace
{

base::time_point at(base::duration since_start)
{
    return base::time_point{since_start};
}

request_identity identity()
{
    request_identity result;
    result.id_ = {1, 2};
    result.workspace_ = base::workspace_id{"brest"};
    return result;
}

answer_end ended(outcome how)
{
    return {how, 0, {}, {}, {}};
}

} // namespace

TEST_GROUP(request_state){};

TEST(request_state, times_are_told_from_the_receipt)
{
    request_state state{at(1s)};
    state.queue();
    state.dispatch(at(3s));
    state.first_output(at(4s));
    state.first_output(at(5s));
    state.end(outcome::complete, at(9s));
    CHECK(state.result() == outcome::complete);
    CHECK(state.waited(at(20s)) == 2s);
    CHECK(state.to_first_output() == base::duration{3s});
    CHECK(state.total(at(20s)) == 8s);
}

TEST(request_state, refused_request_waited_until_its_end)
{
    request_state state{at(1s)};
    state.queue();
    state.end(outcome::not_run, at(4s));
    CHECK(state.waited(at(20s)) == 3s);
    CHECK(state.since_dispatch(at(20s)) == 0s);
    CHECK_FALSE(state.to_first_output().has_value());
}

TEST_GROUP(request_record)
{
    base::manual_clock clock_;
    request_record record_{identity(), clock_, 1000};
};

TEST(request_record, waiting_request_without_readers_is_withdrawn)
{
    record_.attach();
    record_.queue();
    CHECK_FALSE(record_.withdraw_if_unread());
    record_.detach();
    CHECK(record_.withdraw_if_unread());
    CHECK(record_.answer().end()->outcome_ == outcome::not_run);
    CHECK_FALSE(record_.begin_connect());
}

TEST(request_record, no_hang_up_ends_what_is_being_connected)
{
    record_.queue();
    CHECK(record_.begin_connect());
    CHECK_FALSE(record_.withdraw_if_unread());
    record_.connect_failed();
    CHECK(record_.withdraw_if_unread());
}

TEST(request_record, no_hang_up_makes_a_dispatched_request_not_run)
{
    record_.queue();
    CHECK(record_.begin_connect());
    record_.dispatch();
    CHECK_FALSE(record_.withdraw_if_unread());
    CHECK_FALSE(record_.end_if_waiting(ended(outcome::not_run)));
    record_.end(ended(outcome::unknown));
    CHECK(record_.state().result() == outcome::unknown);
}

TEST(request_record, unread_time_counts_from_the_last_reader)
{
    record_.attach();
    record_.attach();
    clock_.advance(5s);
    record_.detach();
    CHECK(record_.unread_for() == 0s);
    record_.detach();
    clock_.advance(2s);
    CHECK(record_.unread_for() == 2s);
}
