#include "src/config/digest.hpp"
#include "src/http/config_api.hpp"
#include "src/http/server.hpp"
#include "src/kernel/kernel.hpp"
#include "src/platform/etcd_store.hpp"
#include "tests/config/sample.hpp"
#include "tests/fakes/fake_key_value.hpp"

#include <CppUTest/TestHarness.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <future>

using namespace tanagerlead;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr char const* operator_key = "open sesame";
constexpr std::uint64_t seed = 1;
constexpr int threads = 4;

struct answer
{
    int status_ = 0;
    json body_;
};

} // namespace

TEST_GROUP(config_api)
{
    base::steady_clock clock_;
    fakes::fake_key_value fake_{{"127.0.0.1", 0}, clock_};
    std::unique_ptr<platform::etcd_store> store_;
    kernel::kernel services_;
    config::config_service* service_ = nullptr;
    std::unique_ptr<http::config_api> api_;
    std::unique_ptr<http::server> server_;
    std::promise<void> first_version_;

    void setup() override
    {
        CHECK(fake_.start().has_value());
        platform::etcd_settings settings;
        settings.endpoints_ = {fake_.local_address()};
        settings.timeouts_.read_ = 300ms;
        store_ = std::make_unique<platform::etcd_store>(settings);
        auto service = std::make_unique<config::config_service>(
            base::daemon_id{"d1"}, *store_, seed);
        service_ = service.get();
        services_.add(kernel::control_thread::service_name,
                      std::make_unique<kernel::control_thread>(clock_));
        services_.add(config::config_service::service_name, std::move(service));
        CHECK(services_.start().has_value());
        service_->subscribe(
            [this](config::snapshot const& now)
            {
                if (now->version_ == base::config_version{1})
                {
                    first_version_.set_value();
                }
            });
        serve(config::sha256_hex(operator_key));
    }

    void teardown() override
    {
        server_.reset();
        services_.stop();
        fake_.stop();
    }

    void serve(std::string key_hash)
    {
        api_ = std::make_unique<http::config_api>(
            *service_, http::operator_guard{std::move(key_hash)},
            []
            {
                return std::vector<http::daemon_version>{
                    {base::daemon_id{"d1"}, base::data_centre_id{"brest"},
                     "alive", base::config_version{2}},
                    {base::daemon_id{"d2"}, base::data_centre_id{"brest"},
                     "dead", base::config_version{}}};
            });
        server_ = std::make_unique<http::server>(
            http::server_settings{{"127.0.0.1", 0}, threads});
        api_->add_routes(server_->routes());
        CHECK(server_->start().has_value());
    }

    answer call(char const* path, std::string const* body = nullptr,
                char const* key = operator_key)
    {
        httplib::Client client{"127.0.0.1", server_->local_address().port_};
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
        first_version_.get_future().wait();
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
    httplib::Client client{"127.0.0.1", server_->local_address().port_};
    CHECK_EQUAL(401, client.Get("/operator/v1/config")->status);
    serve("");
    CHECK_EQUAL(403, call("/operator/v1/config", nullptr, "").status_);
}

TEST(config_api, an_outage_is_told_with_step_and_peer)
{
    create_first();
    fake_.set_faults({.outage_ = fakes::outage::refuse});
    auto const refused = patch(1, "a", json::object());
    CHECK_EQUAL(503, refused.status_);
    auto const& error = refused.body_.at("error");
    STRCMP_EQUAL(fake_.local_address().str().c_str(),
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
