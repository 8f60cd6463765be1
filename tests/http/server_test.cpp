#include "src/http/server.hpp"
#include "src/net/caller_connection.hpp"
#include "tests/http/fakes.hpp"
#include "tests/http/raw_caller.hpp"

#include <CppUTest/TestHarness.h>

#include <future>
#include <stdexcept>

using namespace tanagerlead;
using namespace tanagerlead::test;
using namespace std::chrono_literals;

TEST_GROUP(server)
{
    http::server_settings settings_{{"127.0.0.1", 0}};
    std::unique_ptr<http::server> server_;

    /// With a call "/text" and what `add` adds.
    void serve(std::function<void(http::router&)> const& add = {})
    {
        server_ = std::make_unique<http::server>(settings_);
        server_->routes().add(
            "GET", "/text",
            [](http::http_call const& /*call*/, http::http_reply& reply)
            { reply.set_content("some text", "text/plain"); });
        if (add)
        {
            add(server_->routes());
        }
        server_->start().value();
    }

    void teardown() override
    {
        server_.reset();
    }

    raw_caller caller() const
    {
        return raw_caller{server_->local_address()};
    }

    std::string ask(std::string const& request) const
    {
        raw_caller asking{server_->local_address()};
        asking.send(request);
        return asking.read_to_end();
    }
};

TEST(server, a_slow_body_is_answered_with_its_reason)
{
    settings_.longest_request_ = 30ms;
    serve();
    auto const answer =
        ask("GET /text HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{");
    CHECK(answer.starts_with("HTTP/1.1 408"));
    CHECK(answer.find("request_too_slow") != std::string::npos);
}

TEST(server, a_slow_head_is_answered_with_its_reason)
{
    settings_.longest_request_ = 30ms;
    serve();
    CHECK(ask("GET /text HTTP/1.1\r\nHo").starts_with("HTTP/1.1 408"));
}

TEST(server, two_readings_of_a_body_are_refused)
{
    serve();
    for (auto const* fields :
         {"Host: x\r\nHost: y\r\n", "",
          "Host: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n",
          "Host: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
          "Host: x\r\nTransfer-Encoding: gzip\r\n"})
    {
        auto const answer =
            ask(std::string{"GET /text HTTP/1.1\r\n"} + fields + "\r\n");
        CHECK_TEXT(answer.starts_with("HTTP/1.1 400"), fields);
        CHECK_TEXT(answer.find("not_run") != std::string::npos, fields);
    }
}

TEST(server, the_answer_to_head_has_a_length_and_no_body)
{
    serve();
    auto const answer =
        ask("HEAD /text HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(answer.find("Content-Length: 9\r\n") != std::string::npos);
    CHECK_EQUAL(answer.size() - 4, answer.find("\r\n\r\n"));
}

TEST(server, the_answer_to_head_has_no_pieces)
{
    serve(
        [](http::router& to)
        {
            to.add("GET", "/pieces",
                   [](http::http_call const& /*call*/, http::http_reply& reply)
                   {
                       reply.deliver_by(
                           [](auto const& connection)
                           {
                               connection->begin_answer({200, {}, {}, {}});
                               connection->send_chunk("piece");
                               connection->end_answer();
                           });
                   });
        });
    auto const answer =
        ask("HEAD /pieces HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    // Nothing behind the head.
    CHECK_EQUAL(answer.size() - 4, answer.find("\r\n\r\n"));
}

TEST(server, a_handler_that_throws_ends_its_call_alone)
{
    serve(
        [](http::router& to)
        {
            auto const throws =
                [](http::http_call const& /*call*/, http::http_reply& /*reply*/)
            {
                throw std::runtime_error{"broken"};
            };
            to.add("GET", "/loop", throws);
            to.add("GET", "/worker", throws, http::runs_on::worker);
        });
    for (auto const* path : {"/loop", "/worker"})
    {
        auto const answer = ask(std::string{"GET "} + path +
                                " HTTP/1.1\r\nHost: x\r\n"
                                "Connection: close\r\n\r\n");
        CHECK_TEXT(answer.starts_with("HTTP/1.1 500"), path);
        CHECK_TEXT(answer.find("unknown") != std::string::npos, path);
    }
    CHECK(ask("GET /text HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
              .starts_with("HTTP/1.1 200"));
}

TEST(server, requests_sent_together_are_answered_in_order)
{
    serve(
        [](http::router& to)
        {
            to.add("GET", "/number/{}",
                   [](http::http_call const& call, http::http_reply& reply) {
                       reply.set_content("<" + call.captures_.front() + ">",
                                         "text/plain");
                   });
        });
    std::string requests;
    for (auto const* number : {"1", "2", "3"})
    {
        requests += std::string{"GET /number/"} + number +
                    " HTTP/1.1\r\nHost: x\r\n\r\n";
    }
    auto calling = caller();
    calling.send(requests);
    auto const answers = calling.read_until("<3>");
    CHECK(answers.find("<1>") < answers.find("<2>"));
    CHECK(answers.find("<2>") < answers.find("<3>"));
}

TEST(server, a_handler_that_waits_holds_up_nobody)
{
    gate waits;
    serve(
        [&](http::router& to)
        {
            to.add(
                "GET", "/slow",
                [&](http::http_call const& /*call*/, http::http_reply& reply)
                {
                    waits.wait();
                    reply.set_content("at last", "text/plain");
                },
                http::runs_on::worker);
        });
    auto slow = caller();
    slow.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
    auto quick = caller();
    quick.send("GET /text HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(quick.read_until("some text").starts_with("HTTP/1.1 200"));
    waits.open();
    CHECK(slow.read_until("at last").starts_with("HTTP/1.1 200"));
}

TEST(server, a_stop_sends_the_answers_that_are_there)
{
    std::string const large(std::size_t{8} << 20U, 'x');
    serve(
        [&](http::router& to)
        {
            to.add("GET", "/large",
                   [&](http::http_call const& /*call*/, http::http_reply& reply)
                   { reply.set_content(large, "text/plain"); });
        });
    auto calling = caller();
    calling.send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    calling.read_until("\r\n\r\n");
    auto reads = std::async(std::launch::async,
                            [&] { return calling.read_to_end().size(); });
    server_->stop();
    CHECK(reads.get() > large.size());
}

TEST(server, a_stop_does_not_wait_for_an_answer_that_never_comes)
{
    settings_.longest_stop_ = 20ms;
    serve(
        [](http::router& to)
        {
            to.add("GET", "/never",
                   [](http::http_call const& /*call*/, http::http_reply& reply)
                   { reply.deliver_by([](auto const& /*to*/) {}); });
        });
    auto calling = caller();
    calling.send("GET /never HTTP/1.1\r\nHost: x\r\n\r\n"
                 "GET /text HTTP/1.1\r\nHost: x\r\n\r\n");
    server_->stop();
    STRCMP_EQUAL("", calling.read_to_end().c_str());
}
