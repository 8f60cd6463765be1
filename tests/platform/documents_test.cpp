#include "platform/documents.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::platform;

namespace
{

char const* const document = R"({"Version":7,"New":[1],"Routes":[
 {"Name":"r1","Host":"a.example","Prefix":"/x/","Kind":"stream",
  "TimeoutMs":3000,"TargetLatencyMs":800,"Priority":1,"Service":"s1",
  "MaxAttempts":2,"AllowAnonymous":false,"ResumeStreams":true,"GapAimMs":400},
 {"Name":"r2","Host":"a.example","Prefix":"/y/","Kind":"idempotent",
  "WeightedClusters":[{"Service":"s1","Weight":90},
                      {"Service":"s2","Weight":10},
                      {"Service":"s3","Weight":0}]}],
 "Services":[{"Name":"s1","Engine":{"Slots":6,"KvCapacity":395278}},
             {"Name":"s2"}],
 "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,
           "IdleTimeoutMs":400},
 "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1,"Unit":"tokens",
             "PlainTokens":200,"RatePerS":1000,"Burst":2000},
            {"Name":"t2","ApiKeys":[]}]})";

struct bad_document
{
    char const* name_;
    char const* text_;
};

constexpr bad_document bad_configurations[] = {
    {"empty", ""},
    {"not JSON", "{"},
    {"an array", "[]"},
    {"no version", R"({"Routes":[]})"},
    {"version is a string", R"({"Version":"7"})"},
    {"routes are not an array", R"({"Version":7,"Routes":{}})"},
    {"a route without host",
     R"({"Version":7,"Routes":[{"Name":"r","Prefix":"/","Kind":"stream",
        "Service":"s"}]})"},
    {"a route without service",
     R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/",
        "Kind":"stream"}]})"},
    {"a timeout that is a string",
     R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/",
        "Kind":"stream","Service":"s","TimeoutMs":"3000"}]})"},
    {"a key that is a number",
     R"({"Version":7,"Tenants":[{"Name":"t","ApiKeys":[1]}]})"},
    {"a workspace without name", R"({"Version":7,"Tenants":[{}]})"},
};

constexpr bad_document bad_entries[] = {
    {"empty", ""},
    {"not UTF-8", "\xff\xfe\x00"},
    {"not an object", "[1]"},
    {"no service", R"({"Address":"10.0.0.1:80","Zone":"z","Slots":1,
                      "State":"ready"})"},
    {"service is a number", R"({"Service":1,"Address":"10.0.0.1:80",
                      "Zone":"z","Slots":1,"State":"ready"})"},
    {"address is a name", R"({"Service":"s","Address":"host:80","Zone":"z",
                      "Slots":1,"State":"ready"})"},
    {"no port", R"({"Service":"s","Address":"10.0.0.1","Zone":"z","Slots":1,
                      "State":"ready"})"},
    {"unknown state", R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z",
                      "Slots":1,"State":"sleeping"})"},
    {"state is missing", R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z",
                      "Slots":1})"},
    {"no slots", R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z",
                      "State":"ready"})"},
    {"slots are a string", R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z",
                      "Slots":"6","State":"ready"})"},
    {"slots are zero", R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z",
                      "Slots":0,"State":"ready"})"},
    {"born is a fraction", R"({"Service":"s","Address":"10.0.0.1:80",
                      "Zone":"z","Slots":1,"State":"ready","born":1.5})"},
    {"born is a string", R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z",
                      "Slots":1,"State":"ready","born":"1"})"},
};

} // namespace

TEST_GROUP(documents){};

TEST(documents, reads_a_configuration)
{
    auto const read = parse_configuration(document);
    CHECK(read.has_value());
    auto const& c = *read.value();
    LONGS_EQUAL(7, static_cast<long>(c.version()));
    auto const found = c.find("a.example", "/x/1", "k2");
    CHECK(found.status_ == routing::lookup_status::found);
    auto const& r = *found.route_;
    CHECK(r.kind_ == routing::route_kind::stream);
    CHECK(r.resumable_ && r.is_retryable());
    CHECK(r.timeout_ == std::chrono::seconds{3});
    CHECK(r.objective_ == std::chrono::milliseconds{800});
    CHECK(r.gap_objective_ == std::chrono::milliseconds{400});
    LONGS_EQUAL(2, r.max_attempts_);
    auto const& w = *found.workspace_;
    CHECK(w.counts_tokens_);
    DOUBLES_EQUAL(1000, w.rate_, 0);
    DOUBLES_EQUAL(2000, w.burst_, 0);
    DOUBLES_EQUAL(200, w.default_tokens_, 0);
    LONGS_EQUAL(100, c.limits().max_header_bytes_);
    LONGS_EQUAL(395278, c.pools()[0].kv_capacity_tokens_);
    LONGS_EQUAL(0, c.pools()[1].kv_capacity_tokens_);
    CHECK(c.limits().idle_timeout_ == std::chrono::milliseconds{400});
}

TEST(documents, drops_pools_with_weight_zero)
{
    auto const read = parse_configuration(document);
    auto const found = read.value()->find("a.example", "/y/", "k1");
    LONGS_EQUAL(2, found.route_->pools_.size());
    LONGS_EQUAL(90, found.route_->pools_[0].weight_);
}

TEST(documents, treats_an_unknown_kind_as_non_idempotent)
{
    auto const read = parse_configuration(
        R"({"Version":1,"Routes":[{"Name":"r","Host":"h","Prefix":"/",
           "Kind":"new","Service":"s"}]})");
    CHECK(!read.value()->routes()[0].is_retryable());
}

TEST(documents, rejects_malformed_configurations)
{
    for (auto const& bad : bad_configurations)
    {
        CHECK_TEXT(!parse_configuration(bad.text_), bad.name_);
    }
}

TEST(documents, reads_a_registry_entry)
{
    auto const read = parse_target(
        base::target_id{"i-1"},
        R"({"Service":"s","Address":"10.128.0.9:8080","Zone":"z","Slots":6,
           "State":"draining","Seq":4,"born":1733180000000,"new":{}})");
    CHECK(read.has_value());
    auto const& t = read.value();
    STRCMP_EQUAL("i-1", t.id_.str().c_str());
    STRCMP_EQUAL("10.128.0.9:8080", t.address_.str().c_str());
    LONGS_EQUAL(6, t.slots_);
    CHECK(t.draining_);
    CHECK(t.incarnation_ == routing::target_incarnation{1733180000000});
}

TEST(documents, reads_the_software_version_of_a_target)
{
    auto const version_in = [](std::string const& field)
    {
        auto const read = parse_target(
            base::target_id{"i-1"},
            R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Slots":6,
               "State":"ready")" +
                field + "}");
        CHECK(read.has_value());
        return read.value().version_.str();
    };
    STRCMP_EQUAL("v1.2", version_in(R"(,"Version":"v1.2")").c_str());
    STRCMP_EQUAL("", version_in("").c_str());
    STRCMP_EQUAL("", version_in(R"(,"Version":1.2)").c_str());
}

TEST(documents, rejects_malformed_registry_entries)
{
    for (auto const& bad : bad_entries)
    {
        CHECK_TEXT(!parse_target(base::target_id{"i-1"}, bad.text_), bad.name_);
    }
}

// Parses every prefix of a document, and the document with each byte changed in
// turn.
TEST(documents, does_not_crash_on_damaged_documents)
{
    std::string const whole{document};
    for (std::size_t i = 0; i < whole.size(); ++i)
    {
        CHECK(!parse_configuration(std::string_view{whole}.substr(0, i)));
        auto damaged = whole;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
        (void)parse_configuration(damaged);
        (void)parse_target(base::target_id{"i"}, damaged);
    }
}
