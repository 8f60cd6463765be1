#include "src/request/metrics.hpp"
#include "src/request/prompt_features.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::request;

namespace
{

std::string words(int count, std::string const& word = "w")
{
    std::string text;
    for (int i = 0; i < count; ++i)
    {
        text += word + std::to_string(i) + (i % 3 == 0 ? " \n" : "\t");
    }
    return text;
}

std::size_t lines_with(std::string const& text, std::string const& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++count;
    }
    return count;
}

} // namespace

TEST_GROUP(prompt_features){};

TEST(prompt_features, counts_words_and_whole_blocks)
{
    struct row
    {
        int words_;
        std::size_t blocks_;
    };
    for (auto const& each :
         {row{0, 0}, row{1, 0}, row{63, 0}, row{64, 1}, row{130, 2}})
    {
        auto const features = extract_features("  " + words(each.words_));
        CHECK_EQUAL(each.words_, features.tokens_);
        CHECK_EQUAL(each.blocks_, features.prefix_.size());
    }
}

TEST(prompt_features, equal_hashes_mean_equal_prefixes)
{
    auto const a = extract_features(words(128) + "tail");
    auto const b = extract_features(words(64) + words(64, "v"));
    CHECK_EQUAL(a.prefix_[0], b.prefix_[0]);
    CHECK(a.prefix_[1] != b.prefix_[1]);
    // Words that run together differently are another prefix.
    auto const joined = extract_features("ab c " + words(62));
    auto const split = extract_features("a bc " + words(62));
    CHECK(joined.prefix_[0] != split.prefix_[0]);
}

TEST(prompt_features, fingerprint_tells_the_parts_apart)
{
    base::workspace_id const w{"a"};
    auto const one = fingerprint(w, base::pool_id{"bc"}, "d");
    CHECK_EQUAL(one, fingerprint(w, base::pool_id{"bc"}, "d"));
    CHECK(one != fingerprint(w, base::pool_id{"b"}, "cd"));
    CHECK(one !=
          fingerprint(base::workspace_id{"ab"}, base::pool_id{"c"}, "d"));
}

TEST_GROUP(metrics){};

TEST(metrics, workspaces_past_the_limit_share_a_series)
{
    request::metrics all{2};
    for (auto const* name : {"a", "b", "c", "d", "a"})
    {
        request_sample sample;
        sample.workspace_ = base::workspace_id{name};
        sample.outcome_ = outcome::not_run;
        sample.cause_ = "overloaded";
        all.add(sample);
    }
    auto const text = all.text();
    for (auto const* line :
         {R"(causes_total{workspace="a",cause="overloaded"} 2)",
          R"(causes_total{workspace="other",cause="overloaded"} 2)",
          R"(causes_total{tier="0",cause="overloaded"} 5)"})
    {
        CHECK_EQUAL_TEXT(1, lines_with(text, line), line);
    }
    CHECK_EQUAL(0, lines_with(text, "workspace=\"c\""));
}
