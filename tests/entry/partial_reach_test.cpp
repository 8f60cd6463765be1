#include "tests/entry/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

using step = answer_step;
using action = answer_step::action;

std::vector<step> answer_at_once(std::string const& request)
{
    return {{action::send, complete_answer(request, 200, "done")}};
}

routing::target_info target_at(std::string const& id, std::string const& pool,
                               base::address const& address)
{
    routing::target_info out;
    out.id_ = base::target_id{id};
    out.pool_ = base::pool_id{pool};
    out.address_ = address;
    out.data_centre_ = base::data_centre_id{"here"};
    out.version_ = base::software_version{"1"};
    return out;
}

routing::route route_to(std::string const& pool)
{
    routing::route r;
    r.name_ = pool;
    r.host_ = "a.example";
    r.prefix_ = "/" + pool + "/";
    r.kind_ = routing::route_kind::idempotent;
    r.pools_ = {{base::pool_id{pool}, 1}};
    r.timeout_ = std::chrono::seconds{5};
    r.objective_ = std::chrono::milliseconds{500};
    r.max_attempts_ = 2;
    return r;
}

} // namespace

/// A daemon reaches the targets of pool `near` and none of pool `far`.
TEST_GROUP(partial_reach)
{
    scripted_target near_{answer_at_once};
    scripted_target near_other_{answer_at_once};
    scripted_target far_{answer_at_once};
    std::uint16_t port_ = free_port();
    entry_fixture partial_{"127.0.0.1", port_};
    entry_fixture other_{"127.0.0.2", port_};
    int last_request_ = 0;

    void setup() override
    {
        routing::workspace shop;
        shop.id_ = base::workspace_id{"shop"};
        shop.keys_ = {"k"};
        auto const configuration =
            std::make_shared<routing::configuration const>(
                base::config_version{1},
                std::vector{route_to("near"), route_to("far")},
                std::vector{shop}, routing::caller_limits{});
        for (auto* const daemon : {&partial_, &other_})
        {
            daemon->on_loop(
                [&] { daemon->daemon().on_configuration(configuration); });
        }
        partial_.set_daemons({"127.0.0.2"});
        other_.set_daemons({"127.0.0.1"});
        base::address const nobody{"127.0.0.3", 9};
        // The daemons reach the target of `near` at different addresses, which
        // tells who served a request.
        partial_.set_registry({target_at("n-0", "near", near_.address()),
                               target_at("f-0", "far", nobody)});
        other_.set_registry({target_at("n-0", "near", near_other_.address()),
                             target_at("f-0", "far", far_.address())});
        std::this_thread::sleep_for(std::chrono::milliseconds{400});
    }

    void teardown() override
    {
        partial_.set_registry({});
        other_.set_registry({});
    }

    void check_answered(std::string const& path)
    {
        raw_caller caller{partial_.callers()};
        caller.send(entry_fixture::with_id(
            entry_fixture::request(path, "body", "Connection: close\r\n"),
            "r" + std::to_string(++last_request_)));
        auto const answer = caller.read_to_end();
        CHECK_TEXT(answer.starts_with("HTTP/1.1 200"),
                   (path + " " + answer).c_str());
    }
};

TEST(partial_reach, passes_on_the_requests_of_that_pool_only)
{
    constexpr int count = 10;
    for (int i = 0; i < count; ++i)
    {
        check_answered("/far/");
        check_answered("/near/");
    }
    LONGS_EQUAL(count, far_.requests().size());
    LONGS_EQUAL(count, near_.requests().size());
    LONGS_EQUAL(0, near_other_.requests().size());
}
