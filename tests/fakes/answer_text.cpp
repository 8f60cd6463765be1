#include "tests/fakes/answer_text.hpp"

#include "src/base/random.hpp"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace tanagerlead::fakes
{

namespace
{
constexpr std::string_view spaces = " \t\r\n";
constexpr std::uint64_t position_stride = 0x9e3779b97f4a7c15U;
} // namespace

void block_chain::add(std::uint64_t token)
{
    base::random_source mixer{state_ ^ token};
    state_ = mixer();
    ++tokens_;
    if (tokens_ % cache_block_tokens == 0)
    {
        blocks_.push_back(state_);
    }
}

std::uint64_t hash_word(std::string_view word)
{
    return XXH3_64bits(word.data(), word.size());
}

prompt read_prompt(std::string_view text)
{
    prompt result;
    auto begin = text.find_first_not_of(spaces);
    while (begin != std::string_view::npos)
    {
        auto const end =
            std::min(text.find_first_of(spaces, begin), text.size());
        result.chain_.add(hash_word(text.substr(begin, end - begin)));
        begin = text.find_first_not_of(spaces, end);
    }
    result.tokens_ = result.chain_.tokens();
    result.hash_ = result.chain_.hash();
    return result;
}

std::string answer_word(std::uint64_t prompt_hash, base::token_count position)
{
    constexpr std::array syllables{"ba", "di", "fo",  "gu", "ke", "la",
                                   "mi", "no", "pu",  "re", "sa", "ti",
                                   "vo", "zu", "che", "sha"};
    constexpr int syllables_a_word = 4;
    constexpr int bits_a_syllable = 4;
    constexpr std::uint64_t syllable_mask = 0xf;
    auto const step = static_cast<std::uint64_t>(position) * position_stride;
    auto bits = base::random_source{prompt_hash + step}();
    std::string word;
    for (int i = 0; i < syllables_a_word; ++i)
    {
        word += syllables[bits & syllable_mask];
        bits >>= bits_a_syllable;
    }
    return word;
}

std::string answer_text(std::uint64_t prompt_hash, base::token_count tokens)
{
    std::string text;
    for (base::token_count i = 0; i < tokens; ++i)
    {
        if (i > 0)
        {
            text += ' ';
        }
        text += answer_word(prompt_hash, i);
    }
    return text;
}

base::token_count default_answer_tokens(std::uint64_t prompt_hash,
                                        base::token_count most)
{
    auto const bound =
        static_cast<std::uint64_t>(std::max<base::token_count>(most, 1));
    return static_cast<base::token_count>(1 + prompt_hash % bound);
}

} // namespace tanagerlead::fakes
