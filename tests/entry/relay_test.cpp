#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>

using namespace tanagerlead;
using namespace tanagerlead::test;
using namespace std::chrono_literals;

namespace
{

using step = answer_step;
using action = answer_step::action;

std::vector<step> answer_at_once(std::string const& request)
{
    if (request.starts_with("POST /stream/") ||
        request.starts_with("POST /flow/"))
    {
        return {{action::send, stream_head(request) + event_chunk(1) +
                                   event_chunk(2) + stream_end}};
    }
    return {{action::send, complete_answer(request, 200, "done")}};
}

routing::target_info target_at(std::string const& id,
                               base::address const& address)
{
    routing::target_info out;
    out.id_ = base::target_id{id};
    out.pool_ = base::pool_id{"p"};
    out.address_ = address;
    out.data_centre_ = base::data_centre_id{"here"};
    out.version_ = base::software_version{"1"};
    return out;
}

} // namespace

TEST_GROUP(relay)
{
    scripted_target first_{answer_at_once};
    scripted_target second_{answer_at_once};
    scripted_target third_{answer_at_once};
    std::uint16_t port_ = free_port();
    entry_fixture cut_off_{"127.0.0.1", port_};
    entry_fixture other_{"127.0.0.2", port_};
    int last_request_ = 0;

    void setup() override
    {
        for (auto* const daemon : {&cut_off_, &other_})
        {
            daemon->configure();
        }
        cut_off_.set_daemons({"127.0.0.2"});
        other_.set_daemons({"127.0.0.1"});
        reach(other_);
        reach_nothing(cut_off_);
        std::this_thread::sleep_for(400ms);
    }

    void teardown() override
    {
        for (auto* const daemon : {&cut_off_, &other_})
        {
            daemon->set_registry({});
        }
    }

    void reach(entry_fixture & daemon)
    {
        daemon.set_registry({target_at("i-0", first_.address()),
                             target_at("i-1", second_.address()),
                             target_at("i-2", third_.address())});
    }

    static void reach_nothing(entry_fixture & daemon)
    {
        base::address const nobody{"127.0.0.3", 9};
        daemon.set_registry({target_at("i-0", nobody), target_at("i-1", nobody),
                             target_at("i-2", nobody)});
    }

    std::string ask(std::string const& path, std::string const& more = "")
    {
        raw_caller caller{cut_off_.callers()};
        caller.send(entry_fixture::with_id(
            entry_fixture::request(path, "body",
                                   "Connection: close\r\n" + more),
            "r" + std::to_string(++last_request_)));
        return caller.read_to_end();
    }

    std::size_t runs() const
    {
        return first_.requests().size() + second_.requests().size() +
               third_.requests().size();
    }
};

TEST(relay, serves_callers_of_a_daemon_that_reaches_no_target)
{
    for (auto const* const path : {"/plain/", "/once/", "/stream/", "/flow/"})
    {
        for (int i = 0; i < 5; ++i)
        {
            auto const answer = ask(path);
            CHECK_TEXT(answer.starts_with("HTTP/1.1 200"),
                       (path + std::to_string(i) + answer).c_str());
        }
    }
    LONGS_EQUAL(20, runs());
}

TEST(relay, passes_on_what_the_caller_sent_once)
{
    ask("/plain/", "X-Other: kept\r\n");
    LONGS_EQUAL(1, runs());
    for (auto const* const t : {&first_, &second_, &third_})
    {
        for (auto const& request : t->requests())
        {
            STRCMP_EQUAL(
                "r1", header_value(request, "Tanagerlead-Request-Id").c_str());
            STRCMP_EQUAL("shop",
                         header_value(request, "Tanagerlead-Tenant").c_str());
            STRCMP_EQUAL("kept", header_value(request, "X-Other").c_str());
            STRCMP_EQUAL("", header_value(request, "X-Api-Key").c_str());
            CHECK(request.ends_with("body"));
        }
    }
}

TEST(relay, ends_when_no_daemon_reaches_a_target)
{
    reach_nothing(other_);
    for (int i = 0; i < 5; ++i)
    {
        auto const asked = net::now();
        auto const answer = ask("/plain/");
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(net::now() - asked < 3s);
    }
    LONGS_EQUAL(0, runs());
}

TEST(relay, goes_on_with_a_stream_at_the_version_that_began_it)
{
    auto const begun = ask("/stream/");
    CHECK(begun.starts_with("HTTP/1.1 200"));
    other_.set_registry({target_at("i-0", first_.address())});
    auto const answer = ask("/stream/", "Last-Event-Id: 1\r\nResumes: r1\r\n");
    CHECK_TEXT(answer.find("id: 2\n") != std::string::npos, answer.c_str());
    CHECK(answer.find("id: 1\n") == std::string::npos);
}

TEST(relay, sends_a_request_to_no_more_targets_than_the_route_allows)
{
    auto const fail = [](std::string const& request)
    {
        return std::vector<step>{
            {action::send, complete_answer(request, 500, "no")}};
    };
    scripted_target const first{fail};
    scripted_target const second{fail};
    scripted_target const third{fail};
    other_.set_registry({target_at("i-0", first.address()),
                         target_at("i-1", second.address()),
                         target_at("i-2", third.address())});
    auto const runs = [&]
    {
        return first.requests().size() + second.requests().size() +
               third.requests().size();
    };
    CHECK(ask("/plain/").starts_with("HTTP/1.1 500"));
    LONGS_EQUAL(2, runs());
    CHECK(ask("/once/").starts_with("HTTP/1.1 500"));
    LONGS_EQUAL(3, runs());
}

TEST(relay, is_not_open_to_strangers)
{
    auto const port = free_port();
    entry_fixture alone{"127.0.0.4", port};
    alone.configure();
    reach(alone);
    raw_caller caller{{"127.0.0.4", port}};
    caller.send(entry_fixture::request("/plain/", "",
                                       "Relay-Attempts: 1\r\nRelay-Pool: "
                                       "p\r\nRelay-Configuration: 1\r\n"));
    auto const answer = caller.read_until("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Relay-Result: unreachable") != std::string::npos);
    LONGS_EQUAL(0, runs());
    alone.set_registry({});
}
