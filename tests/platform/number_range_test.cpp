#include "platform/documents.hpp"
#include "platform/wire_protocol.hpp"
#include "src/base/random.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace tanagerlead;
using namespace tanagerlead::platform;

namespace
{

constexpr std::array numbers{
    "0",          "-0.0",  "1e-300", "0.5",
    "-1",         "-1e18", "-1e300", "2147483648",
    "4294967296", "1e10",  "1e19",   "9223372036854775807",
    "1e300",      "1e999", "null",   "18446744073709551615",
};

constexpr std::array fields{
    "TimeoutMs",       "TargetLatencyMs", "GapAimMs", "Priority",
    "MaxAttempts",     "KvCapacity",      "RatePerS", "Burst",
    "PlainTokens",     "MaxHeaderBytes",  "Weight",   "MaxBodyBytes",
    "HeaderTimeoutMs", "IdleTimeoutMs",
};

/// A valid document in which one field has another value in all its places.
std::string document_with(std::string_view field, std::string_view value)
{
    std::string out = R"({"Version":7,"Routes":[{"Name":"r","Host":"h",
        "Prefix":"/","Kind":"stream","Service":"s","TimeoutMs":3000,
        "TargetLatencyMs":800,"GapAimMs":400,"Priority":1,"MaxAttempts":2,
        "WeightedClusters":[{"Service":"s","Weight":1}]}],
        "Services":[{"Name":"s","Engine":{"KvCapacity":10}}],
        "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,
                  "HeaderTimeoutMs":300,"IdleTimeoutMs":400},
        "Tenants":[{"Name":"t","ApiKeys":["k"],"PlainTokens":200,
                    "RatePerS":1000,"Burst":2000}]})";
    auto const name = "\"" + std::string{field} + "\":";
    auto const at = out.find(name) + name.size();
    out.replace(at, out.find_first_of(",}", at) - at, value);
    return out;
}

bool is_time(base::duration value)
{
    constexpr base::duration max_time = std::chrono::hours{24 * 366 * 100};
    return value >= base::duration::zero() && value <= max_time;
}

void check_values(routing::configuration const& c, char const* text)
{
    auto const& r = c.routes().at(0);
    CHECK_TEXT(is_time(r.timeout_) && is_time(r.objective_) &&
                   is_time(r.gap_objective_),
               text);
    CHECK_TEXT(r.max_attempts_ >= 1, text);
    CHECK_TEXT(r.pools_.at(0).weight_ >= 1, text);
    auto const& limits = c.limits();
    CHECK_TEXT(is_time(limits.header_timeout_) && is_time(limits.idle_timeout_),
               text);
    constexpr std::size_t max_head = 1U << 31U;
    CHECK_TEXT(limits.max_header_bytes_ <= max_head, text);
    CHECK_TEXT(limits.max_body_bytes_ <= std::size_t{1} << 62U, text);
    CHECK_TEXT(c.pools().at(0).kv_capacity_tokens_ >= 0, text);
    CHECK_TEXT(c.workspaces().at(0).default_tokens_ >= 0, text);
}

std::vector<std::uint32_t> weights_of(std::string const& first,
                                      std::string const& second)
{
    auto const read = parse_configuration(
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/",
        "Kind":"stream","Service":"s","WeightedClusters":[
        {"Service":"a","Weight":)" +
        first + R"(},{"Service":"b","Weight":)" + second + "}]}]}");
    std::vector<std::uint32_t> out;
    for (auto const& pool : read.value()->routes().at(0).pools_)
    {
        out.push_back(pool.weight_);
    }
    return out;
}

} // namespace

TEST_GROUP(number_range)
{
    wire_protocol protocol_;

    base::result<entry::request_metadata> read(char const* field,
                                               std::string const& value)
    {
        net::header_list headers;
        headers.add(field, value);
        return protocol_.read_request_metadata(headers);
    }
};

TEST(number_range, a_configuration_is_rejected_or_its_numbers_are_in_range)
{
    for (auto const* const field : fields)
    {
        for (auto const* const value : numbers)
        {
            auto const got = parse_configuration(document_with(field, value));
            if (got)
            {
                check_values(*got.value(),
                             (std::string{field} + " " + value).c_str());
            }
            else
            {
                CHECK_TEXT(!got.error().detail_.empty(), field);
            }
        }
    }
}

TEST(number_range, the_version_of_a_configuration_is_an_unsigned_integer)
{
    for (auto const* const bad : {"-1", "1.5", "1e300", "-1e300", "null"})
    {
        CHECK_TEXT(!parse_configuration(document_with("Version", bad)), bad);
    }
    CHECK(parse_configuration(document_with("Version", "7")).has_value());
}

// A pool is chosen by its part of the sum, which must not be zero.
TEST(number_range, weights_that_are_fractions_keep_their_ratio)
{
    auto const split = weights_of("0.9", "0.1");
    LONGS_EQUAL(2, split.size());
    DOUBLES_EQUAL(9.0, static_cast<double>(split[0]) / split[1], 0.01);
    auto const huge = weights_of("3e300", "1e300");
    LONGS_EQUAL(2, huge.size());
    DOUBLES_EQUAL(3.0, static_cast<double>(huge[0]) / huge[1], 0.01);
    auto const tiny = weights_of("3e-320", "3e-320");
    LONGS_EQUAL(2, tiny.size());
    LONGS_EQUAL(tiny[0], tiny[1]);
    for (auto const weight : weights_of("1e-300", "1e300"))
    {
        CHECK(weight >= 1);
    }
}

// The sum of both counts is charged to the workspace.
TEST(number_range, token_counts_that_cannot_be_added_are_malformed)
{
    auto const* const field = "Tanagerlead-Token-Usage";
    CHECK(!read(field, "9223372036854775807,9223372036854775807"));
    CHECK(!read(field, "1,9223372036854775807"));
    CHECK(!read(field, "9223372036854775807,1"));
    CHECK(read(field, "1000000,1000000").has_value());
    auto const parts = read("Tanagerlead-Prompt-Prefix",
                            "a:9223372036854775807,b:9223372036854775807");
    for (auto const& part : parts.value().sized_parts_)
    {
        CHECK(part.tokens_ < 1'000'000'000'000);
    }
}

TEST(number_range, a_long_time_left_does_not_wrap_around)
{
    for (auto const* const ms :
         {"9223372036855", "18446744073710", "9223372036854775807"})
    {
        auto const got = read("Tanagerlead-Deadline-Ms", ms);
        CHECK(got.has_value());
        CHECK_TEXT(*got.value().time_left_ > std::chrono::hours{24}, ms);
    }
}

TEST(number_range, damaged_headers_and_documents_are_read_or_rejected)
{
    base::random_source random{7};
    std::string const head =
        "Tanagerlead-Deadline-Ms: 5000|Tanagerlead-Token-Usage: 1460,80|"
        "Last-Event-Id: 12|Tanagerlead-Prompt-Prefix: 5c1e:800,e440:250|"
        "Server-Limit: 5.5|Retry-After: 2.5|Server-Brittle: 1|";
    auto const document = document_with("Priority", "1");
    std::string const entry =
        R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Slots":6,
        "State":"ready","born":12,"Version":"1"})";
    auto const damage = [&](std::string text)
    {
        text.resize(random.below(text.size() + 1));
        for (auto flips = random.below(4); flips > 0 && !text.empty(); --flips)
        {
            text[random.below(text.size())] = static_cast<char>(random());
        }
        return text;
    };
    for (int i = 0; i < 3000; ++i)
    {
        auto rest = damage(head);
        net::http_response answer;
        answer.status_ = 503;
        while (!rest.empty())
        {
            auto const line = rest.substr(0, rest.find('|'));
            rest.erase(0, line.size() + 1);
            auto const colon = std::min(line.size(), line.find(": "));
            answer.headers_.add(line.substr(0, colon),
                                line.substr(std::min(line.size(), colon + 2)));
        }
        (void)protocol_.read_request_metadata(answer.headers_);
        auto const pause = protocol_.read_answer_metadata(answer).pause_;
        CHECK(!pause || *pause > base::duration::zero());
        (void)parse_configuration(damage(document));
        (void)parse_target(base::target_id{"i"}, damage(entry));
    }
}
