#include "tests/http/engine_script.hpp"
#include "tests/http/fixture.hpp"
#include "tests/http/raw_caller.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

struct input_case
{
    char const* name_;
    std::string path_;
    httplib::Headers headers_;
    std::string content_type_;
    std::string body_;
    int status_;
    char const* cause_;
};

std::string const json_type{"application/json"};
std::string const chat{chat_path};

std::string chat_with(std::string const& extra)
{
    return R"({"model":"report","messages":[{"role":"u","content":"a"}],)" +
           extra + "}";
}

std::vector<input_case> const input_cases{
    {"no JSON", chat, {}, json_type, "{", 400, "bad_body"},
    {"empty body", chat, {}, json_type, "", 400, "bad_body"},
    {"a list", chat, {}, json_type, "[]", 400, "bad_body"},
    {"bytes that are not UTF-8",
     chat,
     {},
     json_type,
     "{\"model\":\"\xff\"}",
     400,
     "bad_body"},
    {"deep nesting",
     chat,
     {},
     json_type,
     std::string(100000, '['),
     400,
     "bad_body"},
    {"no model", chat, {}, json_type, R"({"messages":[]})", 400, "bad_body"},
    {"no messages",
     chat,
     {},
     json_type,
     R"({"model":"report"})",
     400,
     "bad_body"},
    {"message without role",
     chat,
     {},
     json_type,
     R"({"model":"report","messages":[{"content":"a"}]})",
     400,
     "bad_body"},
    {"content of a wrong kind",
     chat,
     {},
     json_type,
     R"({"model":"report","messages":[{"role":"u","content":7}]})",
     400,
     "bad_body"},
    {"stream of a wrong kind",
     chat,
     {},
     json_type,
     chat_with(R"("stream":1)"),
     400,
     "bad_body"},
    {"no tokens wanted",
     chat,
     {},
     json_type,
     chat_with(R"("max_tokens":0)"),
     400,
     "bad_body"},
    {"too many tokens",
     chat,
     {},
     json_type,
     chat_with(R"("max_tokens":99999999999999999999)"),
     400,
     "bad_body"},
    {"prompt of a wrong kind",
     "/v1/completions",
     {},
     json_type,
     R"({"model":"report","prompt":[1]})",
     400,
     "bad_body"},
    {"unknown model",
     chat,
     {},
     json_type,
     R"({"model":"x","messages":[{"role":"u","content":"a"}]})",
     404,
     "unknown_pool"},
    {"a service as a model",
     chat,
     {},
     json_type,
     R"({"model":"till","messages":[{"role":"u","content":"a"}]})",
     404,
     "unknown_pool"},
    {"model of others",
     chat,
     {},
     json_type,
     R"({"model":"quotes","messages":[{"role":"u","content":"a"}]})",
     403,
     "pool_not_allowed"},
    {"unknown service",
     "/v1/services/x/y",
     {{"Idempotency-Key", "k"}},
     json_type,
     "",
     404,
     "unknown_pool"},
    {"wrong content type",
     chat,
     {},
     "text/plain",
     chat_body,
     415,
     "content_type"},
    {"form with parts",
     "/v1/services/till/a",
     {{"Idempotency-Key", "k"}},
     "multipart/form-data; boundary=b",
     "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\nx\r\n--b--\r\n",
     415,
     "content_type"},
    {"broken form",
     "/v1/services/till/a",
     {{"Idempotency-Key", "k"}},
     "multipart/form-data; boundary=b",
     "--b--\r\n",
     415,
     "content_type"},
    {"deadline of a wrong kind",
     chat,
     {{"X-Deadline-Ms", "soon"}},
     json_type,
     chat_body,
     400,
     "bad_header"},
    {"deadline too far",
     chat,
     {{"X-Deadline-Ms", "99999999999"}},
     json_type,
     chat_body,
     400,
     "bad_header"},
    {"deadline in the past",
     chat,
     {{"X-Deadline-Ms", "-5"}},
     json_type,
     chat_body,
     504,
     "deadline"},
    {"key too long",
     chat,
     {{"Idempotency-Key", std::string(256, 'k')}},
     json_type,
     chat_body,
     400,
     "bad_header"},
    {"mark of a wrong kind",
     chat,
     {{"X-Non-Idempotent", "yes"}},
     json_type,
     chat_body,
     400,
     "bad_header"},
    {"event id of a wrong kind",
     chat,
     {{"Last-Event-ID", "x"}},
     json_type,
     chat_body,
     400,
     "bad_header"},
    {"unknown path", "/v1/nothing", {}, json_type, "", 404, ""},
    {"long path",
     "/v1/services/till/" + std::string(8100, 'a'),
     {{"Idempotency-Key", "k"}},
     json_type,
     "",
     200,
     ""},
    {"too long path",
     "/v1/services/till/" + std::string(9000, 'a'),
     {{"Idempotency-Key", "k"}},
     json_type,
     "",
     414,
     ""},
};

void check_error(httplib::Result const& got, input_case const& row)
{
    CHECK_TEXT(got, row.name_);
    CHECK_EQUAL_TEXT(row.status_, got->status, row.name_);
    STRCMP_EQUAL_TEXT(row.cause_,
                      got->get_header_value("X-Tanagerlead-Cause").c_str(),
                      row.name_);
    if (row.status_ != 200)
    {
        STRCMP_EQUAL_TEXT(
            "not_run", got->get_header_value("X-Tanagerlead-Outcome").c_str(),
            row.name_);
        CHECK_TEXT(got->body.find(R"("message":")") != std::string::npos,
                   row.name_);
    }
}

} // namespace

TEST_GROUP(bad_input)
{
    api_fixture fixture_;

    void setup() override
    {
        fixture_.target_.on("POST", answers(200, "{}"));
    }

    void still_serves()
    {
        auto const got = fixture_.post(chat_path, chat_body);
        CHECK(got);
        CHECK_EQUAL(200, got->status);
    }
};

TEST(bad_input, table)
{
    auto client = fixture_.client();
    for (auto const& row : input_cases)
    {
        auto headers = row.headers_;
        headers.emplace("Authorization", std::string{"Bearer "} + brest_key);
        check_error(
            client.Post(row.path_, headers, row.body_, row.content_type_), row);
    }
    STRCMP_EQUAL(("POST /" + std::string(8100, 'a')).c_str(),
                 fixture_.target_.log().c_str());
    still_serves();
}

TEST(bad_input, unknown_keys_are_refused)
{
    for (auto const* value : {"", "Bearer ", "Bearer x", "Basic eDp5"})
    {
        auto const got = fixture_.client().Post(
            chat_path, {{"Authorization", value}}, chat_body, json_type);
        CHECK_TEXT(got, value);
        CHECK_EQUAL_TEXT(401, got->status, value);
    }
    STRCMP_EQUAL("", fixture_.dispatcher_.log().c_str());
}

TEST(bad_input, a_new_configuration_changes_the_keys_at_once)
{
    auto configuration = two_workspaces();
    configuration.workspaces_.front().key_hashes_ = {
        config::sha256_hex("new-secret")};
    fixture_.source_.set(configuration);
    CHECK_EQUAL(401, fixture_.post(chat_path, chat_body)->status);
    CHECK_EQUAL(200,
                fixture_.post(chat_path, chat_body, {}, "new-secret")->status);
}

TEST(bad_input, body_past_the_limit_is_refused)
{
    std::string const body(std::size_t{17} << 20U, ' ');
    auto const got = fixture_.post(chat_path, body);
    CHECK(got);
    CHECK_EQUAL(413, got->status);
    still_serves();
}

TEST(bad_input, flood_of_headers_is_refused)
{
    raw_caller caller{fixture_.server_.local_address()};
    caller.send("POST /v1/completions HTTP/1.1\r\n");
    auto const line = "X-A: " + std::string(1000, 'a') + "\r\n";
    for (int i = 0; i < 70; ++i)
    {
        caller.send(line);
    }
    CHECK(caller.read_until("\"not_run\"}").find("HTTP/1.1 431") == 0);
    still_serves();
}

TEST(bad_input, one_who_never_sends_the_body_holds_up_nobody)
{
    raw_caller caller{fixture_.server_.local_address()};
    caller.send("POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n{");
    still_serves();
    STRCMP_EQUAL("submit started finished", fixture_.dispatcher_.log().c_str());
}

TEST(bad_input, request_ids_of_callers_are_their_own_affair)
{
    httplib::Headers const headers{{"X-Request-Id", "same"}};
    auto const first = fixture_.post(chat_path, chat_body, headers);
    auto const second = fixture_.post(chat_path, chat_body, headers, dakar_key);
    CHECK(first->get_header_value("X-Tanagerlead-Request") !=
          second->get_header_value("X-Tanagerlead-Request"));
    CHECK_EQUAL(2, fixture_.target_.count("POST"));
}

TEST(bad_input, another_workspaces_request_is_not_found)
{
    auto const got = fixture_.post(chat_path, chat_body);
    auto const path =
        "/v1/requests/" + got->get_header_value("X-Tanagerlead-Request");
    CHECK_EQUAL(200, fixture_.get(path)->status);
    auto const theirs = fixture_.get(path, {}, dakar_key);
    auto const none = fixture_.get("/v1/requests/" + std::string(32, '0'));
    CHECK_EQUAL(404, theirs->status);
    STRCMP_EQUAL(none->body.c_str(), theirs->body.c_str());
    CHECK_EQUAL(404, fixture_.get("/v1/requests/x")->status);
}

TEST_GROUP(short_patience){};

TEST(short_patience, body_that_never_comes_ends_the_connection)
{
    http::server_settings settings{{"127.0.0.1", 0}};
    settings.longest_request_ = std::chrono::milliseconds{30};
    http::server server{settings};
    std::atomic<int> handled{0};
    server.routes().add("POST", "/",
                        [&](http::http_call const&, http::http_reply&)
                        { ++handled; });
    server.start().value();
    raw_caller caller{server.local_address()};
    caller.send("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n{");
    CHECK(caller.read_to_end().find("HTTP/1.1 400") == 0);
    CHECK_EQUAL(0, handled.load());
}
