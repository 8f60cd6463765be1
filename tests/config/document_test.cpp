#include "src/config/document.hpp"
#include "src/config/patch.hpp"
#include "tests/config/sample.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace tanagerlead;
using config::patch_kind;

namespace
{

constexpr base::config_version version{7};

config::configuration sample()
{
    return config::parse_configuration(sample_document, version).configuration_;
}

bool names(config::checked_configuration const& checked, char const* pointer)
{
    return std::any_of(checked.errors_.begin(), checked.errors_.end(),
                       [&](config::field_error const& error)
                       { return error.pointer_ == pointer; });
}

/// A merge patch that makes the sample wrong, and where.
struct wrong_field
{
    char const* merge_patch_;
    char const* pointer_;
};

wrong_field const wrong_fields[] = {
    {R"({"colour": 1})", "/colour"},
    {R"({"workspaces": []})", "/workspaces"},
    {R"({"workspaces": {"brest": {"colour": 1}}})", "/workspaces/brest/colour"},
    {R"({"workspaces": {"brest": {"tier": null}}})", "/workspaces/brest/tier"},
    {R"({"workspaces": {"brest": {"tier": 9}}})", "/workspaces/brest/tier"},
    {R"({"workspaces": {"brest": {"tier": 1}}})", "/workspaces/brest/tier"},
    {R"({"workspaces": {"brest": {"tier": "0"}}})", "/workspaces/brest/tier"},
    {R"({"workspaces": {"brest": {"pools": []}}})", "/workspaces/brest/pools"},
    {R"({"workspaces": {"brest": {"pools": null}}})",
     "/workspaces/brest/pools"},
    {R"({"workspaces": {"brest": {"pools": ["none"]}}})",
     "/workspaces/brest/pools/0"},
    {R"({"workspaces": {"brest": {"pools": ["report", "report"]}}})",
     "/workspaces/brest/pools/1"},
    {R"({"workspaces": {"brest": {"key_hashes": ["ff"]}}})",
     "/workspaces/brest/key_hashes/0"},
    {R"({"workspaces": {"thies": {"key_hashes":
["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}}})",
     "/workspaces/thies/key_hashes/0"},
    {R"({"workspaces": {"brest": {"weight": 0}}})", "/workspaces/brest/weight"},
    {R"({"workspaces": {"brest": {"most_waiting": 1.5}}})",
     "/workspaces/brest/most_waiting"},
    {R"({"workspaces": {"a b": {"tier": 0, "pools": ["report"]}}})",
     "/workspaces/a b"},
    {R"({"workspaces": {"a/b": {"tier": 0, "pools": ["none"]}}})",
     "/workspaces/a~1b/pools/0"},
    {R"({"tiers": {"gold": {"longest_wait_ms": 0}}})",
     "/tiers/gold/longest_wait_ms"},
    {R"({"tiers": {"gold": {"longest_wait_ms": 18446744073709551615}}})",
     "/tiers/gold/longest_wait_ms"},
    {R"({"tiers": {"gold": {"tier": 2}}})", "/tiers/gold/tier"},
    {R"({"pools": {"report": {"kind": "bird"}}})", "/pools/report/kind"},
    {R"({"pools": {"portal": null}})", "/targets/p1/pools/0"},
    {R"({"targets": {"p1": {"address": "127.0.0.1:9001"}}})",
     "/targets/r1/address"},
    {R"({"targets": {"p1": {"address": "localhost:1"}}})",
     "/targets/p1/address"},
    {R"({"targets": {"p1": {"draining": 1}}})", "/targets/p1/draining"},
    {R"({"targets": {"p1": {"slots": 0}}})", "/targets/p1/slots"},
    {R"({"targets": {"r1": null}})", "/workspaces/brest/pools"},
    {R"({"targets": {"r1": {"draining": true}}})", "/workspaces/brest/pools"},
    {R"({"groups": {"other": {"data_centres": ["brest"]}}})",
     "/groups/other/data_centres/0"},
};

} // namespace

TEST_GROUP(document){};

TEST(document, sample_is_read_with_its_defaults)
{
    auto const checked = config::parse_configuration(sample_document, version);
    STRCMP_EQUAL("", config::to_lines(checked.errors_).c_str());
    auto const& read = checked.configuration_;
    CHECK(read.version_ == version);
    CHECK_EQUAL(2, read.workspaces_.size());
    CHECK_EQUAL(1000, read.workspaces_[0].most_waiting_);
    CHECK_EQUAL(50, read.workspaces_[1].most_waiting_);
    CHECK_EQUAL(9002, read.targets_[0].address_.port_);
    STRCMP_EQUAL("gold", read.tiers_[0].name_.c_str());
}

TEST(document, serialization_is_stable)
{
    auto const text = config::serialize(sample());
    auto const again = config::parse_configuration(text, version);
    CHECK(again.ok());
    STRCMP_EQUAL(text.c_str(), config::serialize(again.configuration_).c_str());
}

TEST(document, each_wrong_field_is_named)
{
    for (auto const& wrong : wrong_fields)
    {
        auto const checked = config::apply_patch(
            sample(), {patch_kind::merge, wrong.merge_patch_}, version);
        auto const told =
            std::string{wrong.merge_patch_} + config::to_lines(checked.errors_);
        CHECK_TEXT(names(checked, wrong.pointer_), told.c_str());
    }
}

TEST(document, all_wrong_fields_are_named_at_once)
{
    auto const checked = config::parse_configuration(
        R"({"pools": {"a": {"kind": 1}, "b": {}}, "x": 1})", version);
    CHECK_EQUAL(3, checked.errors_.size());
}

TEST(document, doubled_ids_are_refused)
{
    auto const checked = config::parse_configuration(
        R"({"pools": {"a": {"kind": "model"}, "a": {"kind": "model"}}})",
        version);
    CHECK(names(checked, "/pools/a"));
    auto const inside = config::parse_configuration(
        R"([1, {"b": [{"c": 1, "c": 2}]}])", version);
    CHECK(names(inside, "/1/b/0/c"));
}

TEST(document, malformed_text_is_an_error)
{
    for (auto const* text :
         {"", "{", "[]", "null", "{\"pools\": {\"\xff\": 1}}"})
    {
        auto const checked = config::parse_configuration(text, version);
        CHECK_TEXT(!checked.ok(), text);
    }
}

TEST_GROUP(patch){};

TEST(patch, json_patch_names_the_operation_that_fails)
{
    auto const checked = config::apply_patch(
        sample(),
        {patch_kind::json, R"([{"op": "remove", "path": "/groups/brittany"},
                               {"op": "remove", "path": "/groups/none"}])"},
        version);
    CHECK(names(checked, "/patch/1"));
}

TEST(patch, both_kinds_change_one_entry)
{
    config::patch const patches[] = {
        {patch_kind::merge, R"({"targets": {"r1": {"slots": 9}}})"},
        {patch_kind::json,
         R"([{"op": "replace", "path": "/targets/r1/slots", "value": 9}])"}};
    for (auto const& each : patches)
    {
        auto const checked = config::apply_patch(sample(), each, version);
        CHECK(checked.ok());
        auto const changes =
            config::list_changes(sample(), checked.configuration_);
        CHECK_EQUAL(1, changes.size());
        STRCMP_EQUAL("/targets/r1/slots", changes[0].pointer_.c_str());
        STRCMP_EQUAL("8", changes[0].before_.c_str());
        STRCMP_EQUAL("9", changes[0].after_.c_str());
    }
}

TEST(patch, malformed_patches_are_refused)
{
    for (auto const kind : {patch_kind::merge, patch_kind::json})
    {
        for (auto const* text : {"", "1", "{\"op\":1}", "[1]"})
        {
            CHECK_FALSE(
                config::apply_patch(sample(), {kind, text}, version).ok());
        }
    }
}
