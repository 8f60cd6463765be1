#pragma once

#include "src/base/units.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Stand-ins for the systems outside the daemon.
namespace tanagerlead::fakes
{

/// Tokens in one block of a prefix cache.
constexpr base::token_count cache_block_tokens = 64;

/// Hash chain over a sequence of tokens: one entry a full block, each covering
/// all tokens before it.
class block_chain
{
public:
    void add(std::uint64_t token);

    std::vector<std::uint64_t> const& blocks() const { return blocks_; }
    base::token_count tokens() const { return tokens_; }
    /// Covers every token so far.
    std::uint64_t hash() const { return state_; }

private:
    std::uint64_t state_ = 0;
    base::token_count tokens_ = 0;
    std::vector<std::uint64_t> blocks_;
};

/// A prompt as the fake engine sees it: a token is a word between spaces.
struct prompt
{
    block_chain chain_;
    base::token_count tokens_ = 0;
    std::uint64_t hash_ = 0;
};

std::uint64_t hash_word(std::string_view word);
prompt read_prompt(std::string_view text);

/// Word at `position`, counted from 0, of the answer to the prompt with this
/// hash. Two prompts' answers differ from the first words on.
std::string answer_word(std::uint64_t prompt_hash, base::token_count position);

/// The whole answer, words separated by single spaces.
std::string answer_text(std::uint64_t prompt_hash, base::token_count tokens);

/// Length of the answer when the request does not say: 1 to `most`, from the
/// hash.
base::token_count default_answer_tokens(std::uint64_t prompt_hash,
                                        base::token_count most);

} // namespace tanagerlead::fakes
