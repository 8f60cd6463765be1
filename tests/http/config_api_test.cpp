#include "tests/config/sample.hpp"
#include "tests/fakes/config_daemon.hpp"

#include <CppUTest/TestHarness.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

using namespace tanagerlead;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr char const* operator_key = fakes::config_daemon::operator_key;

struct answer
{
    int status_ = 0;
    json body_;
};

} // namespace

TEST_GROUP(config_api)
{
    fakes::config_daemon daemon_;

    void setup() override
    {
        daemon_.members_ = {
            {base::daemon_id{"d1"}, base::data_centre_id{"brest"}, "alive",
             base::config_version{2}},
            {base::daemon_id{"d2"}, base::data_centre_id{"brest"}, "dead",
             base::config_version{}}};
        CHECK(daemon_.start());
    }

    void teardown() override
    {
        daemon_.stop();
    }

    answer call(char const* path, std::string const* body = nullptr,
                char const* key = operator_key)
    {
        httplib::Client client{"127.0.0.1", daemon_.address().port_};
        httplib::Headers const headers{
            {"Authorization", std::string{"Bearer "} + key}};
        auto const sent = body == nullptr ? client.Get(path, headers)
                                          : client.Post(path, headers, *body,
                                                        "application/json");
        CHECK(sent);
        return {sent->status, json::parse(sent->body, nullptr, false)};
    }

    answer post(char const* path, std::string const& body)
    {
        return call(path, &body);
    }

    answer patch(std::uint64_t base, char const* id, json const& change)
    {
        return post("/operator/v1/config/patch", json{{"base_version", base},
                                                      {"patch_id", id},
                                                      {"kind", "merge"},
                                                      {"patch", change}}
                                                     .dump());
    }

    void create_first()
    {
        CHECK_EQUAL(200,
                    patch(0, "first", json::parse(sample_document)).status_);
        daemon_.wait_for_first_version();
    }
};

TEST(config_api, first_configuration_is_a_patch_of_version_zero)
{
    create_first();
    auto const read = call("/operator/v1/config");
    CHECK_EQUAL(200, read.status_);
    CHECK_EQUAL(1, read.body_.at("version").get<int>());
    CHECK(read.body_.at("configuration").at("targets").contains("r1"));
    auto const history = call("/operator/v1/config/history");
    CHECK_EQUAL(1, history.body_.at("versions").size());
}

TEST(config_api, stale_patch_is_a_conflict)
{
    create_first();
    json const change{{"targets", {{"r1", {{"slots", 9}}}}}};
    CHECK_EQUAL(200, patch(1, "a", change).status_);
    auto const stale = patch(1, "b", change);
    CHECK_EQUAL(409, stale.status_);
    CHECK_EQUAL(2, stale.body_.at("version").get<int>());
    auto const& told = stale.body_.at("changes").at(0);
    STRCMP_EQUAL("/targets/r1/slots",
                 told.at("path").get<std::string>().c_str());
    CHECK_EQUAL(9, told.at("after").get<int>());
    auto const old = call("/operator/v1/config?version=1");
    CHECK_EQUAL(8, old.body_.at("/configuration/targets/r1/slots"_json_pointer)
                       .get<int>());
}

TEST(config_api, validate_changes_nothing)
{
    create_first();
    auto const good = post("/operator/v1/config/validate",
                           R"({"kind": "merge", "patch": {"groups": null}})");
    CHECK_EQUAL(200, good.status_);
    CHECK_EQUAL(1, good.body_.at("changes").size());
    auto const bad = post("/operator/v1/config/validate",
                          R"({"document": {"pools": {"a": {"kind": 1}}}})");
    CHECK_EQUAL(422, bad.status_);
    STRCMP_EQUAL(
        "/pools/a/kind",
        bad.body_.at("errors")[0].at("pointer").get<std::string>().c_str());
    CHECK_EQUAL(1, call("/operator/v1/config").body_.at("version").get<int>());
}

TEST(config_api, malformed_calls_are_refused)
{
    for (auto const* body :
         {"", "[]", "{}", R"({"base_version": -1})",
          R"({"base_version": 0, "patch_id": "x", "kind": "odd", "patch": {}})",
          R"({"base_version": 0, "patch_id": "x", "kind": "merge"})",
          R"({"base_version": 0, "patch_id": "x", "kind": "merge",
              "patch": {"pools": {}, "pools": {}}})",
          R"({"base_version": 0, "patch_id": "x", "kind": "merge",
              "patch": {}, "odd": 1})"})
    {
        auto const refused = post("/operator/v1/config/patch", body);
        CHECK_EQUAL_TEXT(422, refused.status_, body);
        CHECK_TEXT(!refused.body_.at("errors").empty(), body);
    }
    CHECK_EQUAL(400, call("/operator/v1/config?version=x").status_);
    CHECK_EQUAL(404, call("/operator/v1/config?version=9").status_);
}

TEST(config_api, only_the_operator_key_passes)
{
    CHECK_EQUAL(403, call("/operator/v1/config", nullptr, "wrong").status_);
    httplib::Client client{"127.0.0.1", daemon_.address().port_};
    CHECK_EQUAL(401, client.Get("/operator/v1/config")->status);
    CHECK(daemon_.serve(""));
    CHECK_EQUAL(403, call("/operator/v1/config", nullptr, "").status_);
}

TEST(config_api, an_outage_is_told_with_step_and_peer)
{
    create_first();
    daemon_.key_value().set_faults({.outage_ = fakes::outage::refuse});
    auto const refused = patch(1, "a", json::object());
    CHECK_EQUAL(503, refused.status_);
    auto const& error = refused.body_.at("error");
    STRCMP_EQUAL(daemon_.key_value().local_address().str().c_str(),
                 error.at("peer").get<std::string>().c_str());
    CHECK_FALSE(error.at("step").get<std::string>().empty());
    CHECK_EQUAL(200, call("/operator/v1/config").status_);
}

TEST(config_api, in_force_leaves_the_dead_out)
{
    create_first();
    auto const told = call("/operator/v1/config/in-force").body_;
    CHECK_EQUAL(2, told.at("daemons").size());
    CHECK_EQUAL(1, told.at("everywhere").get<int>());
}
