#pragma once

#include "src/base/units.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace tanagerlead::fakes
{

/// Blocks of prompt prefixes in limited memory; the least recently used block
/// leaves first.
class prefix_cache
{
public:
    explicit prefix_cache(base::token_count capacity_tokens);

    /// Tokens of the longest cached prefix; marks its blocks as used.
    base::token_count match(std::vector<std::uint64_t> const& blocks);
    void insert(std::vector<std::uint64_t> const& blocks);
    /// Used part in [0, 1].
    double usage() const;

private:
    void touch(std::uint64_t block);

    std::size_t capacity_blocks_;
    /// Most recently used first.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        places_;
};

} // namespace tanagerlead::fakes
