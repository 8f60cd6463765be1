#include "tests/fakes/engine_server.hpp"
#include "tests/fakes/service_server.hpp"

#include <CppUTest/TestHarness.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <future>

using namespace tanagerlead;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

char const* const call =
    R"({"model":"m","prompt":"x y z","max_tokens":9,"stream":true,
        "tanagerlead_fake_output_tokens":3})";

fakes::engine_settings fast_engine()
{
    fakes::engine_settings settings;
    settings.decode_step_ = 1ms;
    return settings;
}

httplib::Client client_of(base::address const& where)
{
    httplib::Client client{where.ip_, where.port_};
    client.set_read_timeout(10s);
    return client;
}

std::string post(base::address const& where, std::string const& body,
                 std::string const& id)
{
    auto client = client_of(where);
    auto const got = client.Post("/v1/completions", {{"X-Request-Id", id}},
                                 body, "application/json");
    return got ? std::to_string(got->status) + ' ' + got->body : "no answer";
}

bool ends_with(std::string const& text, std::string const& end)
{
    return text.size() >= end.size() &&
           text.compare(text.size() - end.size(), end.size(), end) == 0;
}

} // namespace

TEST_GROUP(engine_server)
{
    std::promise<void> crashed_;
    fakes::engine_server engine_{{"e",
                                  {{"127.0.0.1", 0}, 16},
                                  fast_engine(),
                                  [this]
                                  {
                                      crashed_.set_value();
                                  }}};

    void setup() override
    {
        CHECK(engine_.start().has_value());
    }

    void order(std::string const& faults)
    {
        auto client = client_of(engine_.control_address());
        auto const got =
            client.Post("/fake/faults", faults, "application/json");
        CHECK(got && got->status == 200);
    }

    json log()
    {
        auto client = client_of(engine_.control_address());
        return json::parse(client.Get("/fake/log")->body);
    }
};

TEST(engine_server, a_stream_has_ids_usage_and_an_end)
{
    auto const answer = post(engine_.address(), call, "r1");
    for (auto const* part :
         {"id: 1\n", "id: 2\n", "id: 3\n", "id: 4\n", R"("prompt_tokens":3)",
          R"("completion_tokens":3)", R"("cached_tokens":0)"})
    {
        CHECK(answer.find(part) != std::string::npos);
    }
    CHECK(ends_with(answer, "data: [DONE]\n\n"));
    LONGS_EQUAL(1, log()["requests"][0]["count"].get<int>());
}

TEST(engine_server, a_stream_resumes_after_an_event)
{
    auto const whole = post(engine_.address(), call, "r1");
    auto client = client_of(engine_.address());
    auto const rest =
        client.Get("/v1/streams/r1", {{"Last-Event-ID", "2"}})->body;
    STRCMP_EQUAL("id: 3", rest.substr(0, 5).c_str());
    CHECK(ends_with(whole, rest));
    LONGS_EQUAL(404, client.Get("/v1/streams/other")->status);
    LONGS_EQUAL(1, log()["totals"]["dispatched"].get<int>());
}

TEST(engine_server, a_cancelled_stream_ends_without_its_end)
{
    order(R"({"freeze_first_token":true})");
    auto answer =
        std::async(std::launch::async,
                   [this]
                   {
                       return post(engine_.address(), R"({"prompt":"x",
        "stream":true,"max_tokens":1000000000,
        "tanagerlead_fake_output_tokens":1000000000})",
                                   "r1");
                   });
    auto client = client_of(engine_.address());
    while (client.Delete("/v1/streams/r1")->status == 404)
    {
        std::this_thread::yield();
    }
    order(R"({"freeze_first_token":false})");
    CHECK_FALSE(ends_with(answer.get(), "data: [DONE]\n\n"));
    STRCMP_EQUAL("cancelled",
                 log()["requests"][0]["state"].get<std::string>().c_str());
}

TEST(engine_server, a_status_is_answered_without_a_run)
{
    order(R"({"error_status":503})");
    STRCMP_EQUAL("503",
                 post(engine_.address(), call, "r1").substr(0, 3).c_str());
    LONGS_EQUAL(0, log()["totals"]["dispatched"].get<int>());
    order(R"({"error_status":0})");
    STRCMP_EQUAL("200",
                 post(engine_.address(), call, "r2").substr(0, 3).c_str());
}

TEST(engine_server, a_marked_prompt_ends_the_process)
{
    order(R"({"crash_marker":"y"})");
    post(engine_.address(), call, "r1");
    CHECK(crashed_.get_future().wait_for(10s) == std::future_status::ready);
}

TEST(engine_server, a_silenced_connection_waits_while_a_new_one_works)
{
    auto old = client_of(engine_.address());
    old.set_keep_alive(true);
    LONGS_EQUAL(200, old.Get("/health")->status);
    order(R"({"silent":true})");
    auto answer = std::async(std::launch::async,
                             [&old] { return old.Get("/health")->status; });
    STRCMP_EQUAL("200",
                 post(engine_.address(), call, "r1").substr(0, 3).c_str());
    CHECK(answer.wait_for(0s) == std::future_status::timeout);
    order(R"({"silent":false})");
    LONGS_EQUAL(200, answer.get());
}

TEST(engine_server, refused_connections_come_back_on_the_same_port)
{
    auto const before = engine_.address();
    order(R"({"refuse_connections":true})");
    // The listener is closed beside the control call's answer.
    while (post(before, call, "r1") != "no answer")
    {
        std::this_thread::yield();
    }
    order(R"({"refuse_connections":false})");
    CHECK(before == engine_.address());
    STRCMP_EQUAL("200", post(before, call, "r2").substr(0, 3).c_str());
}

TEST(engine_server, bad_calls_get_status_400)
{
    for (auto const* body : {"", "{}", "[]", R"({"prompt":1})",
                             R"({"prompt":"x","max_tokens":"y"})"})
    {
        STRCMP_EQUAL("400",
                     post(engine_.address(), body, "r1").substr(0, 3).c_str());
    }
    LONGS_EQUAL(0, log()["totals"]["dispatched"].get<int>());
}

TEST_GROUP(service_server)
{
    fakes::service_server service_{{"s", {{"127.0.0.1", 0}, 8}, {}, 2, [] {
                                    }}};
};

TEST(service_server, echoes_and_counts_runs)
{
    CHECK(service_.start().has_value());
    auto client = client_of(service_.address());
    httplib::Headers const headers{{"X-Request-Id", "r1"},
                                   {"Idempotency-Key", "k"}};
    for (int i = 0; i < 2; ++i)
    {
        auto const echo = json::parse(
            client.Post("/book", headers, "a hold", "text/plain")->body);
        STRCMP_EQUAL("a hold", echo["body"].get<std::string>().c_str());
        STRCMP_EQUAL("/book", echo["path"].get<std::string>().c_str());
    }
    auto control = client_of(service_.control_address());
    auto const log = json::parse(control.Get("/fake/log")->body);
    LONGS_EQUAL(2, log["requests"][0]["count"].get<int>());
    LONGS_EQUAL(2, log["idempotency_keys"][0]["count"].get<int>());
}
