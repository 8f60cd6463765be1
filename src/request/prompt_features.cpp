#include "src/request/prompt_features.hpp"

#include <xxhash.h>

namespace tanagerlead::request
{

namespace
{

bool is_space(char c)
{
    return c == ' ' || (c >= '\t' && c <= '\r');
}

/// Takes the next word off `rest`; empty at the end.
std::string_view next_word(std::string_view& rest)
{
    std::size_t begin = 0;
    while (begin < rest.size() && is_space(rest[begin]))
    {
        ++begin;
    }
    auto end = begin;
    while (end < rest.size() && !is_space(rest[end]))
    {
        ++end;
    }
    auto const word = rest.substr(begin, end - begin);
    rest.remove_prefix(end);
    return word;
}

std::uint64_t chain(std::uint64_t before, std::string_view text)
{
    return XXH64(text.data(), text.size(), before);
}

} // namespace

prompt_features extract_features(std::string_view prompt)
{
    prompt_features features;
    std::uint64_t hash = 0;
    for (auto word = next_word(prompt); !word.empty(); word = next_word(prompt))
    {
        hash = chain(hash, word);
        ++features.tokens_;
        if (features.tokens_ % sched::prefix_block_tokens == 0)
        {
            features.prefix_.push_back(hash);
        }
    }
    return features;
}

std::uint64_t fingerprint(base::workspace_id const& workspace,
                          base::pool_id const& pool, std::string_view body)
{
    return chain(chain(chain(0, workspace.str()), pool.str()), body);
}

} // namespace tanagerlead::request
