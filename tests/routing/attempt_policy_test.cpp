#include "src/routing/attempt_policy.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead::routing;

namespace
{

struct policy_case
{
    char const* name_;
    route_kind kind_;
    bool resumable_;
    int max_attempts_;
    attempt_failure failure_;
    call_progress progress_;
    retry_decision decision_;
};

using k = route_kind;
using f = attempt_failure;
using v = retry_decision;

// attempts, failed connects, may have run, answer begun, rejections
constexpr policy_case cases[] = {
    {"first connect fails",
     k::non_idempotent,
     false,
     1,
     f::not_connected,
     {0, 1, false, false},
     v::reconnect},
    {"third connect fails",
     k::non_idempotent,
     false,
     1,
     f::not_connected,
     {0, 3, false, false},
     v::refuse},
    {"rejected, no attempt left",
     k::non_idempotent,
     false,
     1,
     f::rejected,
     {1, 0, false, false},
     v::refuse},
    {"rejected, attempt left",
     k::non_idempotent,
     false,
     2,
     f::rejected,
     {1, 0, false, false},
     v::retry},
    {"wrong target",
     k::stream,
     false,
     2,
     f::wrong_target,
     {1, 0, false, false},
     v::retry},
    {"non-idempotent, connection lost",
     k::non_idempotent,
     false,
     3,
     f::broken,
     {1, 0, true, false},
     v::fail},
    {"non-idempotent, stalled",
     k::non_idempotent,
     false,
     3,
     f::stalled,
     {1, 0, true, false},
     v::fail},
    {"non-idempotent, target error",
     k::non_idempotent,
     false,
     3,
     f::target_error,
     {1, 0, true, false},
     v::forward_error},
    {"idempotent, connection lost",
     k::idempotent,
     false,
     2,
     f::broken,
     {1, 0, true, false},
     v::retry},
    {"idempotent, connection lost twice",
     k::idempotent,
     false,
     2,
     f::broken,
     {2, 0, true, false},
     v::fail},
    {"idempotent, rejected after a run",
     k::idempotent,
     false,
     2,
     f::rejected,
     {2, 0, true, false},
     v::fail},
    {"idempotent, target error, attempt left",
     k::idempotent,
     false,
     2,
     f::target_error,
     {1, 0, true, false},
     v::retry},
    {"idempotent, target error twice",
     k::idempotent,
     false,
     2,
     f::target_error,
     {2, 0, true, false},
     v::forward_error},
    {"plain stream, connection lost midway",
     k::stream,
     false,
     2,
     f::broken,
     {1, 0, true, true},
     v::truncate},
    {"resumable stream, connection lost midway",
     k::stream,
     true,
     2,
     f::broken,
     {1, 0, true, true},
     v::retry},
    {"resumable stream, no attempt left",
     k::stream,
     true,
     2,
     f::broken,
     {2, 0, true, true},
     v::truncate},
    {"plain stream, connection lost before the first event",
     k::stream,
     false,
     2,
     f::broken,
     {1, 0, true, false},
     v::fail},
    {"connect of a retry fails",
     k::stream,
     true,
     2,
     f::not_connected,
     {1, 1, true, true},
     v::retry},
    {"non-idempotent may have run, connect fails",
     k::non_idempotent,
     false,
     3,
     f::not_connected,
     {1, 1, true, false},
     v::fail},
    {"first resumption of two attempts rejected",
     k::stream,
     true,
     2,
     f::rejected,
     {2, 0, true, true, 1},
     v::retry},
    {"third rejected resumption",
     k::stream,
     true,
     2,
     f::rejected,
     {4, 0, true, true, 3},
     v::truncate},
    {"resumption broken off after a rejected one",
     k::stream,
     true,
     2,
     f::broken,
     {3, 0, true, true, 1},
     v::truncate},
    {"both attempts rejected before an answer",
     k::stream,
     true,
     2,
     f::rejected,
     {2, 0, false, false, 2},
     v::refuse},
};

} // namespace

TEST_GROUP(attempt_policy){};

TEST(attempt_policy, follows_the_table)
{
    for (auto const& c : cases)
    {
        route r;
        r.kind_ = c.kind_;
        r.resumable_ = c.resumable_;
        r.max_attempts_ = c.max_attempts_;
        CHECK_TEXT(decide_retry(c.failure_, c.progress_, r) == c.decision_,
                   c.name_);
    }
}

TEST(attempt_policy, never_reports_a_request_that_may_have_run_as_not_run)
{
    for (auto const failure : {f::not_connected, f::rejected, f::wrong_target,
                               f::target_error, f::broken, f::stalled})
    {
        CHECK(decide_without_retry(failure, {1, 0, true, false}) != v::refuse);
        CHECK(decide_without_retry(failure, {1, 0, true, true}) == v::truncate);
    }
}
