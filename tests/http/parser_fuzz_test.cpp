#include "src/base/random.hpp"
#include "src/http/generation_body.hpp"
#include "src/http/target_probe.hpp"
#include "src/http/usage.hpp"
#include "src/request/sse.hpp"
#include "tests/http/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::test;

namespace
{

constexpr int rounds = 3000;

/// A valid text with some bytes changed, cut out or doubled.
std::string mutate(std::string text, base::random_source& random)
{
    auto const changes = 1 + random.below(4);
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i)
    {
        auto const at = random.below(text.size());
        auto const length = 1 + random.below(text.size() - at);
        switch (random.below(3))
        {
        case 0:
            text[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(at, length);
            break;
        default:
            text.insert(at, text.substr(at, length));
            break;
        }
    }
    return text;
}

std::string parsed(std::string const& text, base::random_source* splits)
{
    request::sse_parser parser{400};
    std::vector<request::sse_event> events;
    std::string_view rest = text;
    bool fits = true;
    while (fits && !rest.empty())
    {
        auto const piece =
            splits != nullptr ? 1 + splits->below(rest.size()) : rest.size();
        fits = parser.feed(rest.substr(0, piece), events);
        rest.remove_prefix(piece);
    }
    std::string out = fits ? "" : "too large ";
    for (auto const& event : events)
    {
        out += serialize(event);
    }
    return out;
}

} // namespace

TEST_GROUP(parser_fuzz)
{
    base::random_source random_{20261203};
};

TEST(parser_fuzz, events_do_not_depend_on_the_split)
{
    std::string const valid =
        "id: 1\ndata: {\"a\":1}\n\nevent: outcome\r\n"
        "data: x\r\ndata: y\r\n\r\nid: 2\rdata\r\r: c\n\n";
    for (int i = 0; i < rounds; ++i)
    {
        auto const text = mutate(valid, random_);
        STRCMP_EQUAL(parsed(text, nullptr).c_str(),
                     parsed(text, &random_).c_str());
    }
}

TEST(parser_fuzz, body_is_read_or_refused_with_a_reason)
{
    int refused = 0;
    for (int i = 0; i < rounds; ++i)
    {
        auto const body = http::parse_generation(mutate(stream_body, random_),
                                                 http::generation_kind::chat);
        refused += body ? 0 : 1;
        CHECK(body ? !body.value().model_.empty() &&
                         body.value().max_output_tokens_ > 0
                   : !body.error().detail_.empty());
    }
    CHECK(refused > 0 && refused < rounds);
}

TEST(parser_fuzz, counts_of_targets_stay_in_range)
{
    std::string const report = "# TYPE vllm:num_requests_running gauge\n"
                               "vllm:num_requests_running{model=\"m\"} 3\n"
                               "vllm:num_requests_running{model=\"n\"} 1.0\n"
                               "vllm:num_requests_waiting 2e0\n";
    auto const exact = http::parse_load(base::target_id{"t"}, report);
    CHECK_EQUAL(4, exact.value().running_);
    CHECK_EQUAL(2, exact.value().waiting_);
    std::string const usage =
        R"({"usage":{"prompt_tokens":3,"completion_tokens":2,)"
        R"("prompt_tokens_details":{"cached_tokens":1}}})";
    CHECK_EQUAL(0, http::parse_usage(
                       R"({"usage":{"prompt_tokens":18446744073709551615}})")
                       .prompt_);
    for (int i = 0; i < rounds; ++i)
    {
        auto const load =
            http::parse_load(base::target_id{"t"}, mutate(report, random_));
        CHECK(!load ||
              (load.value().running_ >= 0 && load.value().waiting_ >= 0));
        auto const tokens = http::parse_usage(mutate(usage, random_));
        CHECK(tokens.prompt_ >= 0 && tokens.output_ >= 0 &&
              tokens.cached_ >= 0);
    }
}
