#include "tests/http/engine_script.hpp"
#include "tests/http/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

constexpr std::uint64_t foreign_origin = 0x3333;
constexpr std::uint64_t gone_origin = 0x4444;
constexpr char const* posting = R"({"sum":12})";
constexpr char const* posting_path = "/v1/services/till/postings?shop=7";

std::string issued(std::uint64_t origin)
{
    return base::request_id{origin, 0}.str().substr(0, 16) + "-1";
}

httplib::Headers keyed(std::string const& key)
{
    return {{"Idempotency-Key", key}};
}

void check_answer(httplib::Result const& got, int status, char const* outcome,
                  char const* cause)
{
    CHECK(got);
    CHECK_EQUAL(status, got->status);
    STRCMP_EQUAL(outcome,
                 got->get_header_value("X-Tanagerlead-Outcome").c_str());
    STRCMP_EQUAL(cause, got->get_header_value("X-Tanagerlead-Cause").c_str());
}

} // namespace

TEST_GROUP(claim)
{
    api_fixture fixture_;

    void setup() override
    {
        fixture_.target_.on("POST", answers(201, "posted"));
    }

    httplib::Result post(std::string const& key, char const* body = posting)
    {
        return fixture_.post(posting_path, body, keyed(key));
    }

    int runs()
    {
        return fixture_.target_.count("POST");
    }
};

TEST(claim, posting_without_a_key_is_refused)
{
    auto const got = fixture_.post(posting_path, posting);
    check_answer(got, 400, "not_run", "bad_header");
    auto const marked =
        fixture_.post(chat_path, chat_body, {{"X-Non-Idempotent", "true"}});
    check_answer(marked, 400, "not_run", "bad_header");
    CHECK_EQUAL(0, runs());
}

TEST(claim, repeat_gets_the_remembered_answer)
{
    auto const first = post("k1");
    auto const repeat = post("k1");
    check_answer(first, 201, "complete", "");
    check_answer(repeat, 201, "complete", "");
    STRCMP_EQUAL(first->get_header_value("X-Tanagerlead-Request").c_str(),
                 repeat->get_header_value("X-Tanagerlead-Request").c_str());
    CHECK_EQUAL(1, runs());
    STRCMP_EQUAL("/postings", fixture_.target_.call(0).path.c_str());
    STRCMP_EQUAL("7", fixture_.target_.call(0).get_param_value("shop").c_str());
}

TEST(claim, repeat_joins_the_one_that_runs)
{
    gate answer;
    fixture_.target_.on(
        "POST",
        [&](httplib::Request const&, httplib::Response& response)
        {
            answer.wait();
            response.set_content("posted", "text/plain");
        });
    std::vector<std::thread> callers;
    std::atomic<int> complete{0};
    auto const call = [&]
    {
        auto const got = post("k1");
        complete += got && got->body == "posted" ? 1 : 0;
    };
    callers.reserve(4);
    for (int i = 0; i < 4; ++i)
    {
        callers.emplace_back(call);
    }
    CHECK(fixture_.target_.wait_for("POST"));
    answer.open();
    for (auto& caller : callers)
    {
        caller.join();
    }
    CHECK_EQUAL(4, complete.load());
    CHECK_EQUAL(1, runs());
}

TEST(claim, key_with_another_body_is_refused)
{
    check_answer(post("k1"), 201, "complete", "");
    check_answer(post("k1", R"({"sum":13})"), 422, "not_run", "key_reused");
    CHECK_EQUAL(1, runs());
}

TEST(claim, workspaces_do_not_share_keys)
{
    check_answer(post("k1"), 201, "complete", "");
    auto const other =
        fixture_.post(posting_path, posting, keyed("k1"), dakar_key);
    check_answer(other, 201, "complete", "");
    CHECK_EQUAL(2, runs());
}

TEST(claim, store_down_means_not_run_and_a_later_repeat_runs)
{
    fixture_.claims_.fail(true);
    check_answer(post("k1"), 503, "not_run", "store_unavailable");
    STRCMP_EQUAL("submit declined", fixture_.dispatcher_.log().c_str());
    fixture_.claims_.fail(false);
    check_answer(post("k1"), 201, "complete", "");
    CHECK_EQUAL(1, runs());
}

TEST(claim, refusal_before_the_grant_writes_no_claim)
{
    fixture_.dispatcher_.answer_with(
        {request::refuse{sched::refusal_cause::overloaded,
                         std::chrono::seconds{1}},
         fixture_.grant()});
    check_answer(post("k1"), 429, "not_run", "overloaded");
    CHECK_EQUAL(0, fixture_.claims_.acquired());
    check_answer(post("k1"), 201, "complete", "");
}

TEST(claim, claim_whose_holder_was_not_run_is_taken_over_once)
{
    // Nothing listens on port 1, so nothing is sent.
    fixture_.dispatcher_.answer_with({request::dispatch_to{
        base::target_id{"dead"}, base::address{"127.0.0.1", 1}}});
    check_answer(post("k1"), 503, "not_run", "no_target");
    fixture_.dispatcher_.answer_with({fixture_.grant()});
    check_answer(post("k1"), 201, "complete", "");
    check_answer(post("k1"), 201, "complete", "");
    CHECK_EQUAL(1, runs());
}

TEST(claim, own_claim_without_a_remembered_answer_is_unknown)
{
    // As after the memory's limit: the claim is this life's, the record gone.
    request::claim held;
    held.workspace_ = base::workspace_id{"brest"};
    held.key_ = "k1";
    held.holder_ = {own_origin, 999};
    check_answer(post("k0"), 201, "complete", "");
    held.fingerprint_ = fixture_.dispatcher_.items().back().fingerprint_;
    fixture_.claims_.put(held);
    check_answer(post("k1"), 409, "unknown", "key_used");
    CHECK_EQUAL(1, runs());
}

TEST(claim, claim_of_a_daemon_that_is_gone_is_unknown)
{
    check_answer(post("k0"), 201, "complete", "");
    fixture_.claims_.put({base::workspace_id{"brest"},
                          "k1",
                          {gone_origin, 1},
                          fixture_.dispatcher_.items().back().fingerprint_});
    check_answer(post("k1"), 409, "unknown", "key_used");
    CHECK_EQUAL(1, runs());
}

TEST(claim, issued_key_runs_once_without_the_store)
{
    fixture_.claims_.fail(true);
    auto const key = issued(own_origin);
    check_answer(post(key), 201, "complete", "");
    check_answer(post(key), 201, "complete", "");
    CHECK_EQUAL(1, runs());
}

TEST(claim, entries_tell_the_prefix_of_issued_keys)
{
    auto const got = fixture_.get("/v1/entries?model=report");
    CHECK(got);
    STRCMP_EQUAL(R"({"entries":["127.0.0.1:1","127.0.0.1:2"],)"
                 R"("keep_ms":10000,"key_prefix":"0000000000001111-"})",
                 got->body.c_str());
}

TEST(claim, issued_key_of_a_life_that_is_gone_is_unknown)
{
    check_answer(post(issued(gone_origin)), 409, "unknown", "key_used");
    CHECK_EQUAL(0, runs());
}

TEST_GROUP(forgetful)
{
    /// Forgets every answer at once and has room for one issued key.
    static http::caller_api_settings settings()
    {
        auto result = api_fixture::quick_settings();
        result.memory_.most_ended_ = 0;
        result.most_issued_keys_ = 1;
        return result;
    }

    api_fixture fixture_{settings()};

    void setup() override
    {
        fixture_.target_.on("POST", answers(201, "posted"));
    }

    httplib::Result post(std::string const& key)
    {
        return fixture_.post(posting_path, posting, keyed(key));
    }
};

TEST(forgetful, issued_key_is_never_run_again)
{
    auto const key = issued(own_origin);
    check_answer(post(key), 201, "complete", "");
    check_answer(post(key), 409, "unknown", "key_used");
    CHECK_EQUAL(1, fixture_.target_.count("POST"));
}

TEST(forgetful, without_room_for_keys_claims_take_over)
{
    auto const key = issued(own_origin);
    check_answer(post(key), 201, "complete", "");
    auto const second = key + "b";
    check_answer(post(second), 201, "complete", "");
    CHECK_EQUAL(1, fixture_.claims_.acquired());
    check_answer(post(second), 409, "unknown", "key_used");
    CHECK_EQUAL(2, fixture_.target_.count("POST"));
    auto const entries = fixture_.get("/v1/entries");
    CHECK(entries->body.find("key_prefix") == std::string::npos);
}

TEST_GROUP(two_daemons)
{
    /// `holder_` is alive under `foreign_origin`; both share the claims.
    static http::caller_api_settings settings_of(std::uint64_t origin)
    {
        auto settings = api_fixture::quick_settings();
        settings.origin_ = origin;
        return settings;
    }

    api_fixture holder_{settings_of(foreign_origin)};
    api_fixture asked_{settings_of(own_origin)};

    void setup() override
    {
        asked_.entries_.add(base::daemon_id{"holder"}, foreign_origin,
                            holder_.server_.local_address());
        holder_.target_.on("POST", answers(201, "posted"));
    }
};

TEST(two_daemons, issued_key_is_run_by_the_daemon_that_issued_it)
{
    auto const key = issued(foreign_origin);
    check_answer(asked_.post(posting_path, posting, keyed(key)), 201,
                 "complete", "");
    check_answer(holder_.post(posting_path, posting, keyed(key)), 201,
                 "complete", "");
    STRCMP_EQUAL("", asked_.target_.log().c_str());
    STRCMP_EQUAL("POST /postings", holder_.target_.log().c_str());
    STRCMP_EQUAL("", asked_.dispatcher_.log().c_str());
}

TEST(two_daemons, issued_stream_is_passed_on_event_by_event)
{
    holder_.target_.on("POST", streams(engine_events(1, 3), stream_end::done));
    auto headers = keyed(issued(foreign_origin));
    headers.emplace("X-Non-Idempotent", "true");
    auto const got = asked_.post(chat_path, stream_body, headers);
    CHECK(got);
    CHECK(got->body.starts_with(engine_events(1, 3) + "data: [DONE]\n\n"));
    CHECK(got->body.find(R"("outcome":"complete")") != std::string::npos);
    CHECK_EQUAL(1, holder_.target_.count("POST"));
}

TEST(two_daemons, issued_stream_that_the_holder_lost_is_unknown)
{
    holder_.target_.on("POST", streams(engine_events(1, 3), stream_end::cut));
    holder_.target_.on("GET", answers(404, ""));
    auto headers = keyed(issued(foreign_origin));
    headers.emplace("X-Non-Idempotent", "true");
    auto const got = asked_.post(chat_path, stream_body, headers);
    CHECK(got);
    CHECK(got->body.starts_with(engine_events(1, 3) + "event: outcome"));
    CHECK(got->body.find(R"("outcome":"unknown")") != std::string::npos);
}

TEST(two_daemons, refusal_by_the_holder_is_passed_on)
{
    holder_.dispatcher_.answer_with({request::refuse{
        sched::refusal_cause::overloaded, std::chrono::milliseconds{700}}});
    auto const got =
        asked_.post(posting_path, posting, keyed(issued(foreign_origin)));
    check_answer(got, 429, "not_run", "overloaded");
    STRCMP_EQUAL("700", got->get_header_value("X-Retry-After-Ms").c_str());
}

TEST(two_daemons, claimed_key_is_answered_by_its_holder)
{
    check_answer(holder_.post(posting_path, posting, keyed("k1")), 201,
                 "complete", "");
    asked_.claims_.put({base::workspace_id{"brest"},
                        "k1",
                        {foreign_origin, 1},
                        holder_.dispatcher_.items().back().fingerprint_});
    auto const got = asked_.post(posting_path, posting, keyed("k1"));
    check_answer(got, 201, "complete", "");
    STRCMP_EQUAL("posted", got->body.c_str());
    STRCMP_EQUAL("submit declined", asked_.dispatcher_.log().c_str());
    STRCMP_EQUAL("", asked_.target_.log().c_str());
    CHECK_EQUAL(1, holder_.target_.count("POST"));
}

TEST(two_daemons, daemons_that_each_take_the_other_for_the_holder_give_up)
{
    holder_.entries_.add(base::daemon_id{"asked"}, gone_origin,
                         asked_.server_.local_address());
    asked_.entries_.add(base::daemon_id{"holder"}, gone_origin,
                        holder_.server_.local_address());
    check_answer(asked_.post(posting_path, posting, keyed(issued(gone_origin))),
                 409, "unknown", "key_used");
    STRCMP_EQUAL("", holder_.target_.log().c_str());
}
