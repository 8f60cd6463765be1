#include "tests/http/engine_script.hpp"
#include "tests/http/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

struct fault_case
{
    char const* name_;
    httplib::Server::Handler post_;
    /// Of `GET /v1/streams/...`, each time.
    httplib::Server::Handler resume_;
    /// Last event that the caller gets.
    int last_event_;
    /// Code in the stream's last event; empty for a complete stream.
    char const* code_;
    char const* reports_;
    int resumes_;
};

std::string const large(2000, 'x');

std::vector<fault_case> const fault_cases{
    {"cut, resumed where it broke",
     streams(engine_events(1, 2), stream_end::cut),
     streams(engine_events(3, 4), stream_end::done), 4, "",
     "submit started first_token finished", 1},
    {"cut inside an event",
     streams(engine_events(1, 2) + "id: 3\ndata: {\"n", stream_end::cut),
     streams(engine_events(3, 4), stream_end::done), 4, "",
     "submit started first_token finished", 1},
    {"cut before the first event", streams("", stream_end::cut),
     streams(engine_events(1, 2), stream_end::done), 2, "",
     "submit started first_token finished", 1},
    {"end of the body without the end mark",
     streams(engine_events(1, 2), stream_end::unmarked),
     streams("", stream_end::done), 2, "",
     "submit started first_token finished", 1},
    {"events sent twice", streams(engine_events(1, 3), stream_end::cut),
     streams(engine_events(2, 4), stream_end::done), 4, "",
     "submit started first_token finished", 1},
    {"gap after the resumption", streams(engine_events(1, 2), stream_end::cut),
     streams(engine_events(4, 5), stream_end::done), 2, "wrong_answer",
     "submit started first_token target_error", 1},
    {"gap without a cut",
     streams(engine_event(1) + engine_event(3), stream_end::done),
     answers(404, ""), 1, "wrong_answer",
     "submit started first_token target_error", 0},
    {"the target forgot the stream",
     streams(engine_events(1, 2), stream_end::cut), answers(404, ""), 2,
     "target_lost", "submit started first_token target_lost", 1},
    {"the target cannot resume now",
     streams(engine_events(1, 2), stream_end::cut), answers(503, ""), 2,
     "target_lost", "submit started first_token target_lost", 3},
    {"cut again and again without progress",
     streams(engine_events(1, 2), stream_end::cut),
     streams(engine_events(1, 2), stream_end::cut), 2, "target_lost",
     "submit started first_token target_lost", 3},
    {"another request's stream after the resumption",
     streams(engine_events(1, 2), stream_end::cut),
     with_wrong_id(streams(engine_events(3, 4), stream_end::done)), 2,
     "wrong_answer", "submit started first_token target_error", 1},
    {"an event past the limit",
     streams(engine_event(1) + "id: 2\ndata: " + large + "\n\n",
             stream_end::done),
     answers(404, ""), 1, "answer_too_large",
     "submit started first_token cancelled", 0},
};

std::string expected_body(fault_case const& row, std::string const& id)
{
    auto text = engine_events(1, row.last_event_);
    if (*row.code_ == '\0')
    {
        return text +
               "data: [DONE]\n\nevent: outcome\ndata: "
               "{\"outcome\":\"complete\",\"request\":\"" +
               id + "\"}\n\n";
    }
    return text + "event: outcome\ndata: {\"error\":{\"code\":\"" + row.code_;
}

} // namespace

TEST_GROUP(stream_fault){static http::caller_api_settings small_events(){
    auto settings = api_fixture::quick_settings();
settings.target_.most_event_bytes_ = 1000;
return settings;
}
}
;

TEST(stream_fault, table)
{
    for (auto const& row : fault_cases)
    {
        api_fixture fixture{small_events()};
        fixture.target_.on("POST", row.post_);
        fixture.target_.on("GET", row.resume_);
        auto const got = fixture.post(chat_path, stream_body);
        CHECK_TEXT(got, row.name_);
        auto const id = got->get_header_value("X-Tanagerlead-Request");
        auto const expected = expected_body(row, id);
        STRCMP_EQUAL_TEXT(expected.c_str(),
                          got->body.substr(0, expected.size()).c_str(),
                          row.name_);
        CHECK_TEXT(*row.code_ == '\0' ||
                       got->body.find(R"("outcome":"unknown")") !=
                           std::string::npos,
                   row.name_);
        STRCMP_EQUAL_TEXT(row.reports_, fixture.dispatcher_.log().c_str(),
                          row.name_);
        CHECK_EQUAL_TEXT(1, fixture.target_.count("POST"), row.name_);
        CHECK_EQUAL_TEXT(row.resumes_, fixture.target_.count("GET"), row.name_);
    }
}

TEST(stream_fault, wrong_id_on_the_first_answer_delivers_nothing)
{
    api_fixture fixture;
    fixture.target_.on(
        "POST", with_wrong_id(streams(engine_events(1, 2), stream_end::done)));
    auto const got = fixture.post(chat_path, stream_body);
    CHECK(got);
    CHECK_EQUAL(502, got->status);
    STRCMP_EQUAL("unknown",
                 got->get_header_value("X-Tanagerlead-Outcome").c_str());
    CHECK(got->body.find("\"n\"") == std::string::npos);
}

TEST(stream_fault, silent_connection_is_left_for_a_new_one)
{
    auto settings = api_fixture::quick_settings();
    settings.target_.stream_silence_ = std::chrono::milliseconds{50};
    api_fixture fixture{settings};
    gate finished;
    fixture.target_.on("POST",
                       [&](httplib::Request const&, httplib::Response& response)
                       {
                           response.set_chunked_content_provider(
                               "text/event-stream",
                               [&](std::size_t offset, httplib::DataSink& sink)
                               {
                                   if (offset == 0)
                                   {
                                       auto const text = engine_events(1, 2);
                                       return sink.write(text.data(),
                                                         text.size());
                                   }
                                   finished.wait();
                                   return false;
                               });
                       });
    fixture.target_.on("GET", streams(engine_events(3, 4), stream_end::done));
    auto const got = fixture.post(chat_path, stream_body);
    finished.open();
    CHECK(got);
    CHECK(got->body.find(R"("outcome":"complete")") != std::string::npos);
    CHECK(got->body.starts_with(engine_events(1, 4)));
    auto const resume = fixture.target_.call(1);
    STRCMP_EQUAL("2", resume.get_header_value("Last-Event-ID").c_str());
    STRCMP_EQUAL(
        ("/v1/streams/" + got->get_header_value("X-Tanagerlead-Request"))
            .c_str(),
        resume.path.c_str());
}
