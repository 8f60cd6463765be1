#include "tests/config/sample.hpp"
#include "tests/fakes/config_daemon.hpp"
#include "tools/operator/command.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace tanagerlead;
using operator_tool::exit_code;

namespace
{

constexpr base::request_id known{7, 9};

http::daemon_status sample_status()
{
    http::daemon_status now;
    now.daemon_ = base::daemon_id{"d1"};
    now.accepts_work_ = true;
    now.forged_datagrams_ = 4;
    now.cells_ = {
        {base::cell_id{"report-1"}, base::daemon_id{"d1"}, 2, false, {{3, 0}}},
        {base::cell_id{"report-2"}, base::daemon_id{"d2"}, 2, true, {}}};
    return now;
}

std::vector<http::target_view> sample_targets()
{
    http::target_view own;
    own.target_ = base::target_id{"r1"};
    own.in_flight_ = 5;
    own.slots_ = 8;
    http::target_view other;
    other.target_ = base::target_id{"r2"};
    return {own, other};
}

std::optional<http::request_explanation> sample_explain(base::request_id asked)
{
    if (asked != known)
    {
        return std::nullopt;
    }
    http::request_explanation told;
    told.request_ = asked;
    told.decision_ = "refused";
    told.cause_ = "overloaded";
    return told;
}

struct outcome
{
    exit_code code_;
    std::string out_;
    std::string errors_;
};

bool contains(std::string const& text, char const* part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(fleet_commands)
{
    fakes::config_daemon daemon_;
    operator_tool::options options_;

    void setup() override
    {
        daemon_.views_ = {sample_status, sample_targets, sample_explain};
        CHECK(daemon_.start());
    }

    void teardown() override
    {
        daemon_.stop();
    }

    outcome run(std::vector<std::string> const& words,
                char const* key = fakes::config_daemon::operator_key)
    {
        operator_tool::operator_client const client{{daemon_.address()}, key};
        std::ostringstream out;
        std::ostringstream errors;
        auto const code =
            operator_tool::run_command(operator_tool::all_commands(), words,
                                       client, options_, out, errors);
        return {code, out.str(), errors.str()};
    }

    nlohmann::json run_json(std::vector<std::string> const& words)
    {
        options_.json_ = true;
        auto body = nlohmann::json::parse(run(words).out_);
        options_.json_ = false;
        return body;
    }

    void create_first()
    {
        operator_tool::operator_client const client{
            {daemon_.address()}, fakes::config_daemon::operator_key};
        nlohmann::json const body{
            {"base_version", 0},
            {"patch_id", "first"},
            {"kind", "merge"},
            {"patch", nlohmann::json::parse(sample_document)}};
        CHECK_EQUAL(200,
                    client.post("config/patch", body.dump()).value().status_);
        daemon_.wait_for_first_version();
    }
};

TEST(fleet_commands, status_shows_cells_and_what_is_not_known_here)
{
    auto const shown = run({"status"});
    CHECK(shown.code_ == exit_code::ok);
    CHECK(contains(shown.out_, "4 forged"));
    CHECK(contains(shown.out_, "report-1  d1     2        no          3/0\n"));
    CHECK(contains(shown.out_, "report-2  d2     2        yes         -\n"));
    CHECK(
        run_json({"status"}).at("cells").at(1).at("waiting_by_tier").is_null());
}

TEST(fleet_commands, targets_show_in_flight_only_where_it_is_known)
{
    CHECK(contains(run({"targets"}).out_, "r1"));
    auto const body = run_json({"targets"}).at("targets");
    CHECK_EQUAL(5, body.at(0).at("in_flight").get<int>());
    CHECK(body.at(1).at("in_flight").is_null());
}

TEST(fleet_commands, a_drain_lasts_until_it_is_undone)
{
    create_first();
    CHECK(contains(run({"drain", "p1"}).out_, "draining as of version 2"));
    CHECK(contains(run({"config", "get"}).out_, "\"draining\": true"));
    // Nothing to change makes no version.
    CHECK(contains(run({"drain", "p1"}).out_, "draining as of version 2"));
    CHECK_EQUAL(3, run_json({"undrain", "p1"}).at("version").get<int>());
}

TEST(fleet_commands, the_last_target_of_a_workspace_is_not_drained)
{
    create_first();
    auto const refused = run({"drain", "r1"});
    CHECK(refused.code_ == exit_code::invalid);
    CHECK(contains(refused.errors_, "leave a workspace without any target"));
    CHECK(contains(refused.errors_, "/workspaces/brest/pools"));
    CHECK(contains(run({"config", "history"}).out_, "1  first"));
    CHECK_FALSE(contains(run({"config", "history"}).out_, "2  "));
}

TEST(fleet_commands, a_refused_drain_says_why)
{
    create_first();
    CHECK(run({"drain", "r9"}).code_ == exit_code::not_found);
    CHECK(run({"drain"}).code_ == exit_code::usage);
    CHECK(run({"drain", "p1"}, "wrong").code_ == exit_code::permission);
    daemon_.key_value().set_faults({.outage_ = fakes::outage::refuse});
    auto const cut = run({"drain", "p1"});
    CHECK(cut.code_ == exit_code::unavailable);
    CHECK(contains(cut.errors_,
                   daemon_.key_value().local_address().str().c_str()));
}

TEST(fleet_commands, malformed_drains_are_refused)
{
    operator_tool::operator_client const client{
        {daemon_.address()}, fakes::config_daemon::operator_key};
    for (auto const* body :
         {"", "[]", "{}", R"({"target": "p1"})", R"({"draining": true})",
          R"({"target": 1, "draining": true})",
          R"({"target": "p1", "draining": 1})",
          R"({"target": "p1", "draining": true, "odd": 1})"})
    {
        CHECK_EQUAL_TEXT(422, client.post("drain", body).value().status_, body);
    }
}

TEST(fleet_commands, explain_tells_a_refusal_or_that_nothing_is_known)
{
    auto const told = run({"explain", known.str()});
    CHECK(told.code_ == exit_code::ok);
    CHECK(contains(told.out_, "refused: overloaded"));
    CHECK(run({"explain", base::request_id{7, 8}.str()}).code_ ==
          exit_code::not_found);
    CHECK(run({"explain", "nonsense"}).code_ == exit_code::invalid);
    CHECK(run({"explain"}).code_ == exit_code::usage);
    CHECK(run({"status"}, "wrong").code_ == exit_code::permission);
}
