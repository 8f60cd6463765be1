#include "src/net/event_loop.hpp"
#include "tests/http/engine_script.hpp"
#include "tests/http/fixture.hpp"
#include "tests/http/raw_caller.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

/// Streams the events 1 and 2, and the rest when `more` opens.
httplib::Server::Handler halting_stream(gate& more, std::string rest)
{
    return [&more, rest = std::move(rest)](httplib::Request const&,
                                           httplib::Response& response)
    {
        response.set_chunked_content_provider(
            "text/event-stream",
            [&more, rest, first = true](std::size_t,
                                        httplib::DataSink& sink) mutable
            {
                if (first)
                {
                    first = false;
                    auto const text = engine_events(1, 2);
                    return sink.write(text.data(), text.size());
                }
                more.wait();
                auto const sent = sink.write(rest.data(), rest.size());
                sink.done();
                return sent;
            });
    };
}

std::string request_id(std::string const& answer)
{
    std::string const name = "X-Tanagerlead-Request: ";
    auto const at = answer.find(name);
    return at == std::string::npos ? "" : answer.substr(at + name.size(), 32);
}

std::string const rest_of_stream = engine_events(3, 4) + "data: [DONE]\n\n";

} // namespace

TEST_GROUP(life)
{
    gate more_;
    api_fixture fixture_;

    void setup() override
    {
        fixture_.target_.on("POST", halting_stream(more_, rest_of_stream));
    }

    void teardown() override
    {
        more_.open();
    }
};

TEST(life, caller_that_hung_up_resumes_the_stream)
{
    std::string id;
    {
        raw_caller caller{fixture_.server_.local_address()};
        caller.post(chat_path, brest_key, stream_body);
        id = request_id(caller.read_until("id: 2"));
    }
    more_.open();
    CHECK(fixture_.dispatcher_.wait_for("finished"));
    auto const got = fixture_.get("/v1/requests/" + id + "/stream",
                                  {{"Last-Event-ID", "2"}});
    CHECK(got);
    CHECK(got->body.starts_with(rest_of_stream));
    auto const whole = fixture_.get("/v1/requests/" + id);
    CHECK(whole->body.starts_with(engine_events(1, 4)));
    CHECK_EQUAL(1, fixture_.target_.count("POST"));
}

TEST(life, caller_that_hangs_up_in_the_queue_withdraws)
{
    fixture_.dispatcher_.hold();
    {
        raw_caller caller{fixture_.server_.local_address()};
        caller.post(chat_path, brest_key, stream_body);
        CHECK(fixture_.dispatcher_.wait_for("submit"));
    }
    CHECK(fixture_.dispatcher_.wait_for("withdraw"));
    fixture_.dispatcher_.release();
    CHECK(fixture_.dispatcher_.wait_for("declined"));
    STRCMP_EQUAL("", fixture_.target_.log().c_str());
}

TEST(life, slow_reader_does_not_hold_up_the_target)
{
    std::string large;
    for (int id = 3; id <= 1000; ++id)
    {
        large += "id: " + std::to_string(id) +
                 "\ndata: " + std::string(10000, 'x') + "\n\n";
    }
    large += "data: [DONE]\n\n";
    fixture_.target_.on("POST", halting_stream(more_, large));
    raw_caller caller{fixture_.server_.local_address()};
    caller.post(chat_path, brest_key, stream_body);
    CHECK(fixture_.dispatcher_.wait_for("first_token"));
    more_.open();
    CHECK(fixture_.dispatcher_.wait_for("finished"));
    auto const all = caller.read_until("event: outcome");
    CHECK(all.find("id: 1000\n") != std::string::npos);
}

TEST(life, drain_refuses_what_is_new_and_cuts_nothing)
{
    raw_caller caller{fixture_.server_.local_address()};
    caller.post(chat_path, brest_key, stream_body);
    caller.read_until("id: 2");
    fixture_.api_.begin_drain();
    auto const refused = fixture_.post(chat_path, chat_body);
    CHECK_EQUAL(503, refused->status);
    STRCMP_EQUAL("draining",
                 refused->get_header_value("X-Tanagerlead-Cause").c_str());
    STRCMP_EQUAL("127.0.0.1:2",
                 refused->get_header_value("X-Tanagerlead-Entries").c_str());
    CHECK_EQUAL(503, fixture_.get("/readyz")->status);
    CHECK_EQUAL(200, fixture_.get("/healthz")->status);
    CHECK_FALSE(fixture_.api_.wait_until_idle({}));
    more_.open();
    CHECK(caller.read_until("event: outcome").find("id: 4") !=
          std::string::npos);
    CHECK(fixture_.api_.wait_until_idle(long_enough));
    CHECK_EQUAL(0, fixture_.api_.in_flight());
}

TEST(life, stop_refuses_what_waits)
{
    fixture_.dispatcher_.hold();
    raw_caller caller{fixture_.server_.local_address()};
    caller.post(chat_path, brest_key, stream_body);
    CHECK(fixture_.dispatcher_.wait_for("submit"));
    fixture_.api_.stop();
    CHECK(caller.read_until("\"not_run\"}").find("HTTP/1.1 503") == 0);
}

TEST(life, target_that_cannot_be_connected_to_is_left_for_another)
{
    more_.open();
    fixture_.dispatcher_.answer_with(
        {request::dispatch_to{base::target_id{"dead"},
                              base::address{"127.0.0.1", 1}},
         fixture_.grant()});
    auto const got = fixture_.post(chat_path, stream_body);
    CHECK(got->body.find(R"("outcome":"complete")") != std::string::npos);
    STRCMP_EQUAL("submit not_sent resubmit started first_token finished",
                 fixture_.dispatcher_.log().c_str());
}

TEST(life, without_any_target_it_was_not_run)
{
    fixture_.dispatcher_.answer_with({request::dispatch_to{
        base::target_id{"dead"}, base::address{"127.0.0.1", 1}}});
    auto const got = fixture_.post(chat_path, stream_body);
    CHECK_EQUAL(503, got->status);
    STRCMP_EQUAL("no_target",
                 got->get_header_value("X-Tanagerlead-Cause").c_str());
    STRCMP_EQUAL("submit not_sent resubmit not_sent resubmit not_sent "
                 "resubmit not_sent",
                 fixture_.dispatcher_.log().c_str());
}

TEST(life, plain_answer_that_breaks_off_is_unknown)
{
    fixture_.target_.on(
        "POST",
        [](httplib::Request const&, httplib::Response& response)
        {
            response.set_content_provider(
                100, "application/json",
                [](std::size_t, std::size_t, httplib::DataSink& sink)
                {
                    sink.write("{", 1);
                    return false;
                });
        });
    auto const got = fixture_.post(chat_path, chat_body);
    CHECK_EQUAL(502, got->status);
    STRCMP_EQUAL("unknown",
                 got->get_header_value("X-Tanagerlead-Outcome").c_str());
    STRCMP_EQUAL("submit started target_lost",
                 fixture_.dispatcher_.log().c_str());
    CHECK_EQUAL(1, fixture_.target_.count("POST"));
}

TEST(life, targets_own_error_is_passed_on)
{
    fixture_.target_.on("POST", answers(500, "boom"));
    auto const got = fixture_.post(chat_path, stream_body);
    CHECK_EQUAL(500, got->status);
    STRCMP_EQUAL("boom", got->body.c_str());
    STRCMP_EQUAL("submit started target_error",
                 fixture_.dispatcher_.log().c_str());
}

TEST(life, metrics_count_what_happened)
{
    more_.open();
    fixture_.post(chat_path, stream_body);
    auto const text = fixture_.get("/metrics")->body;
    for (
        auto const* line :
        {R"(tanagerlead_workspace_outcomes_total{workspace="brest",outcome="complete"} 1)",
         R"(tanagerlead_workspace_first_token_seconds_count{workspace="brest"} 1)",
         R"(tanagerlead_tier_between_tokens_seconds_count{tier="0"} 3)"})
    {
        CHECK_TEXT(text.find(line) != std::string::npos, line);
    }
}

TEST_GROUP(no_grace)
{
    static http::caller_api_settings settings()
    {
        auto result = api_fixture::quick_settings();
        result.resume_grace_ = {};
        return result;
    }

    gate more_;
    api_fixture fixture_{settings()};

    void teardown() override
    {
        more_.open();
    }
};

TEST(no_grace, stream_that_nobody_reads_is_cancelled_at_the_target)
{
    fixture_.target_.on("POST", halting_stream(more_, rest_of_stream));
    {
        raw_caller caller{fixture_.server_.local_address()};
        caller.post(chat_path, brest_key, stream_body);
        caller.read_until("id: 2");
    }
    CHECK(fixture_.target_.wait_for("DELETE"));
    CHECK(fixture_.dispatcher_.wait_for("cancelled"));
}

TEST(no_grace, posting_goes_on_without_its_caller)
{
    fixture_.target_.on(
        "POST",
        [&](httplib::Request const&, httplib::Response& response)
        {
            more_.wait();
            response.set_content("posted", "text/plain");
        });
    {
        raw_caller caller{fixture_.server_.local_address()};
        caller.send(
            "POST /v1/services/till/p HTTP/1.1\r\nHost: x\r\n"
            "Authorization: Bearer brest-secret\r\nIdempotency-Key: k\r\n"
            "Content-Length: 0\r\n\r\n");
        CHECK(fixture_.target_.wait_for("POST"));
    }
    more_.open();
    CHECK(fixture_.dispatcher_.wait_for("finished"));
    auto const repeat =
        fixture_.post("/v1/services/till/p", "", {{"Idempotency-Key", "k"}});
    STRCMP_EQUAL("posted", repeat->body.c_str());
    CHECK_EQUAL(1, fixture_.target_.count("POST"));
}

TEST_GROUP(crowded)
{
    /// Room for one caller.
    static http::caller_api_settings settings()
    {
        auto result = api_fixture::quick_settings();
        result.most_open_calls_ = 1;
        return result;
    }

    api_fixture fixture_{settings()};

    void check_refused(std::string const& answer)
    {
        CHECK(answer.find("HTTP/1.1 429") == 0);
        CHECK(answer.find("X-Tanagerlead-Cause: overloaded") !=
              std::string::npos);
        CHECK(answer.find("X-Retry-After-Ms: ") != std::string::npos);
    }
};

TEST(crowded, higher_tier_takes_the_place_of_a_waiting_lower_one)
{
    fixture_.dispatcher_.hold();
    raw_caller lower{fixture_.server_.local_address()};
    lower.post(chat_path, dakar_key, chat_body);
    CHECK(fixture_.dispatcher_.wait_for("submit"));
    raw_caller higher{fixture_.server_.local_address()};
    higher.post(chat_path, brest_key, chat_body);
    check_refused(lower.read_until("\"not_run\"}"));
    CHECK(fixture_.dispatcher_.wait_for("submit", 2));
    raw_caller late{fixture_.server_.local_address()};
    late.post(chat_path, dakar_key, chat_body);
    check_refused(late.read_until("\"not_run\"}"));
    STRCMP_EQUAL("submit withdraw submit", fixture_.dispatcher_.log().c_str());
}

TEST_GROUP(target_stop){};

TEST(target_stop, listener_may_stop_an_exchange_as_it_connects)
{
    struct stops_at_once final : http::target_listener
    {
        bool on_connected() override { return false; }
        bool on_head(http::target_head const& /*head*/) override
        {
            return true;
        }
        bool on_bytes(std::string_view /*bytes*/) override { return true; }
        void on_end(http::exchange_end end) override { end_ = end; }

        std::optional<http::exchange_end> end_;
    };
    scripted_target target;
    target.on("GET", answers(200, "{}"));
    target.start();
    net::asio::io_context loop;
    http::http_target_connection connection{loop};
    stops_at_once listener;
    auto const exchange = connection.begin(
        target.address(), {"GET", "/", {}, {}, {}}, {}, listener);
    loop.run();
    CHECK(listener.end_ == http::exchange_end::stopped);
    CHECK_EQUAL(0, target.count("GET"));
}
