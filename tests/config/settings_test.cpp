#include "src/config/settings_file.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;

namespace
{

struct wrong_field
{
    char const* text_;
    char const* pointer_;
};

wrong_field const wrong_fields[] = {
    {R"({"host": "h", "data_centre": "d"})", "/daemon"},
    {R"({"daemon": "", "host": "h", "data_centre": "d"})", "/daemon"},
    {R"({"daemon": "d", "host": "h", "data_centre": "d", "x": 1})", "/x"},
    {R"({"daemon": "d", "host": "h", "data_centre": "d", "http": "a:1"})",
     "/http"},
    {R"({"daemon": "d", "host": "h", "data_centre": "d",
         "seeds": ["127.0.0.1:1", "127.0.0.1:1"]})",
     "/seeds/1"},
    {R"({"daemon": "d", "host": "h", "data_centre": "d",
         "caller_threads": 1})",
     "/caller_threads"},
    {R"({"daemon": "d", "host": "h", "data_centre": "d",
         "operator_key_hash": "secret"})",
     "/operator_key_hash"},
    {R"({"daemon": "d", "host": "h", "data_centre": "d",
         "log": {"level": "loud"}})",
     "/log/level"},
    {R"({"daemon": "d", "daemon": "e", "host": "h", "data_centre": "d"})",
     "/daemon"},
    {R"({"daemon": )", ""},
};

} // namespace

TEST_GROUP(settings){};

TEST(settings, members_are_read)
{
    auto const checked = config::parse_settings(
        R"({"daemon": "d1", "host": "h1", "data_centre": "brest",
            "http": "10.0.0.1:80", "peer": "10.0.0.1:81",
            "key_value": ["10.0.0.2:2379"], "host_list": ["10.0.0.3:80"],
            "seeds": ["10.0.0.4:81"], "policy": "fifo_round_robin",
            "peer_secret": "s", "caller_threads": 32,
            "log": {"level": "warning", "layout": "json_lines"}})");
    STRCMP_EQUAL("", config::to_lines(checked.errors_).c_str());
    auto const& read = checked.settings_;
    STRCMP_EQUAL("d1", read.daemon_.str().c_str());
    CHECK_EQUAL(2379, read.key_value_.front().port_);
    CHECK_EQUAL(32, read.caller_threads_);
    CHECK(read.log_.level_ == base::log_level::warning);
    CHECK(read.log_.layout_ == base::log_layout::json_lines);
}

TEST(settings, each_wrong_field_is_named)
{
    for (auto const& wrong : wrong_fields)
    {
        auto const checked = config::parse_settings(wrong.text_);
        CHECK_EQUAL_TEXT(1, checked.errors_.size(), wrong.text_);
        STRCMP_EQUAL(wrong.pointer_, checked.errors_[0].pointer_.c_str());
    }
}

TEST(settings, missing_file_is_an_error)
{
    CHECK_FALSE(config::read_settings_file("/nonexistent/x.json").ok());
}
