#include "tests/http/engine_script.hpp"
#include "tests/http/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

std::string outcome_event(std::string const& id)
{
    return "event: outcome\ndata: {\"outcome\":\"complete\",\"request\":\"" +
           id + "\"}\n\n";
}

} // namespace

TEST_GROUP(caller_api)
{
    api_fixture fixture_;
};

TEST(caller_api, plain_answer_is_passed_on_byte_for_byte)
{
    auto const answer = R"({"usage":{"prompt_tokens":3,"completion_tokens":2,
        "prompt_tokens_details":{"cached_tokens":1}},"text":"é"})";
    fixture_.target_.on("POST", answers(200, answer));
    auto const got = fixture_.post(chat_path, chat_body);
    CHECK(got);
    CHECK_EQUAL(200, got->status);
    STRCMP_EQUAL(answer, got->body.c_str());
    STRCMP_EQUAL("complete",
                 got->get_header_value("X-Tanagerlead-Outcome").c_str());
    STRCMP_EQUAL("t1", got->get_header_value("X-Tanagerlead-Target").c_str());
    STRCMP_EQUAL(
        fixture_.target_.call(0).get_header_value("X-Request-Id").c_str(),
        got->get_header_value("X-Tanagerlead-Request").c_str());
    STRCMP_EQUAL("submit started finished", fixture_.dispatcher_.log().c_str());
    auto const last = fixture_.dispatcher_.reports().back();
    CHECK_EQUAL(2, last.output_tokens_);
    CHECK_EQUAL(1, last.cached_tokens_);
}

TEST(caller_api, stream_ends_with_its_outcome)
{
    fixture_.target_.on("POST", streams(engine_events(1, 3), stream_end::done));
    auto const got = fixture_.post(chat_path, stream_body);
    CHECK(got);
    CHECK_EQUAL(200, got->status);
    auto const id = got->get_header_value("X-Tanagerlead-Request");
    auto const expected =
        engine_events(1, 3) + "data: [DONE]\n\n" + outcome_event(id);
    STRCMP_EQUAL(expected.c_str(), got->body.c_str());
    STRCMP_EQUAL("submit started first_token finished",
                 fixture_.dispatcher_.log().c_str());
}

TEST(caller_api, refusal_of_a_stream_is_a_plain_status)
{
    fixture_.dispatcher_.answer_with({request::refuse{
        sched::refusal_cause::overloaded, std::chrono::milliseconds{1500}}});
    auto const got = fixture_.post(chat_path, stream_body);
    CHECK(got);
    CHECK_EQUAL(429, got->status);
    STRCMP_EQUAL("not_run",
                 got->get_header_value("X-Tanagerlead-Outcome").c_str());
    STRCMP_EQUAL("overloaded",
                 got->get_header_value("X-Tanagerlead-Cause").c_str());
    STRCMP_EQUAL("2", got->get_header_value("Retry-After").c_str());
    STRCMP_EQUAL("1500", got->get_header_value("X-Retry-After-Ms").c_str());
    STRCMP_EQUAL("127.0.0.1:2",
                 got->get_header_value("X-Tanagerlead-Entries").c_str());
    STRCMP_EQUAL("", fixture_.target_.log().c_str());
}
