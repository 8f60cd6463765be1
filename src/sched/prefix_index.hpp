#pragma once

#include "src/sched/types.hpp"

#include <absl/container/flat_hash_map.h>

#include <list>
#include <span>

namespace tanagerlead::sched
{

/// What one target's prefix cache should hold, going by what was sent to it.
/// Bounded, least recently used first out, as the target's own cache is.
class prefix_index
{
public:
    /// In blocks of `prefix_block_tokens`.
    static constexpr std::size_t default_capacity = 4096;

    explicit prefix_index(std::size_t capacity = default_capacity)
        : capacity_{capacity}
    {
    }

    /// Leading tokens of the prompt that should be cached.
    base::token_count cached(std::span<std::uint64_t const> prefix) const;
    /// The target was sent this prompt.
    void add(std::span<std::uint64_t const> prefix);
    /// The target took only `cached` tokens of this prompt from its cache
    /// when `expected` had been expected.
    void correct(std::span<std::uint64_t const> prefix,
                 base::token_count expected, base::token_count cached);
    /// The target died and its cache with it.
    void clear();

    std::size_t size() const { return blocks_.size(); }
    std::size_t capacity() const { return capacity_; }

private:
    void evict();

    std::size_t capacity_;
    /// Most recent first.
    std::list<std::uint64_t> recent_;
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
};

} // namespace tanagerlead::sched
