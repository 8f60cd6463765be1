#include "tests/process/fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace tanagerlead::process;
using nlohmann::json;

namespace
{

constexpr int daemons = 3;
constexpr int questions = 24;

fleet_settings two_engines()
{
    fleet_settings settings;
    settings.daemons_ = daemons;
    settings.engines_ = 2;
    return settings;
}

json operate(fleet const& asked, int daemon, char const* method,
             std::string const& path, std::string const& body = {})
{
    auto const got = asked.operate(daemon, method, path, body);
    CHECK_EQUAL_TEXT(200, got.status_, got.body_.c_str());
    return json::parse(got.body_);
}

/// Question `i` to daemon `i % daemons`, one after the other.
std::vector<answer> ask_all(fleet const& asked)
{
    std::vector<answer> got;
    for (int i = 0; i < questions; ++i)
    {
        got.push_back(asked.ask(i % daemons,
                                {"gold", "question " + std::to_string(i), 4}));
        STRCMP_EQUAL("complete", got.back().outcome_.c_str());
    }
    return got;
}

} // namespace

TEST_GROUP(operator_process){};

TEST(operator_process, a_drained_target_gets_no_new_work)
{
    fleet tested{two_engines()};
    CHECK(tested.start());
    ask_all(tested);
    operate(tested, 0, "POST", "drain",
            R"({"target": "engine0", "draining": true})");
    for (int i = 0; i < daemons; ++i)
    {
        CHECK(tested.wait_for_version(i, 2));
    }
    auto const before = tested.dispatches_to(0);
    auto const others_before = tested.dispatches_to(1).size();
    ask_all(tested);
    CHECK(before == tested.dispatches_to(0));
    CHECK_EQUAL(others_before + questions, tested.dispatches_to(1).size());
}

TEST(operator_process, the_last_target_of_the_workspaces_is_not_drained)
{
    fleet tested{two_engines()};
    CHECK(tested.start());
    for (auto const* order : {R"({"target": "engine0", "draining": true})",
                              R"({"target": "engine1", "draining": true})"})
    {
        operate(tested, 0, "POST", "drain", order);
    }
    auto const refused = tested.operate(
        1, "POST", "drain", R"({"target": "service0", "draining": true})");
    CHECK_EQUAL(422, refused.status_);
    CHECK(refused.body_.find("/workspaces/gold/pools") != std::string::npos);
}

TEST(operator_process, each_request_is_explained_where_it_was_asked)
{
    fleet tested{two_engines()};
    CHECK(tested.start());
    auto const answers = ask_all(tested);
    for (int i = 0; i < questions; ++i)
    {
        auto const& id = answers[i].request_;
        auto const told = operate(tested, i % daemons, "GET", "explain/" + id);
        STRCMP_EQUAL("dispatched",
                     told.at("decision").get<std::string>().c_str());
        auto const target = told.at("target").get<std::string>();
        auto const engine = target == "engine0" ? 0 : 1;
        CHECK_EQUAL(1, tested.dispatches_to(engine).count(id));
    }
}

TEST(operator_process, status_and_targets_show_the_whole_fleet)
{
    fleet tested{two_engines()};
    CHECK(tested.start());
    auto const status = operate(tested, 1, "GET", "status");
    STRCMP_EQUAL("d1", status.at("daemon").get<std::string>().c_str());
    CHECK_EQUAL(daemons, status.at("members").size());
    CHECK(status.at("accepts_work").get<bool>());
    auto const targets = operate(tested, 1, "GET", "targets").at("targets");
    CHECK_EQUAL(3, targets.size());
}
