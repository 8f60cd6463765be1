#pragma once

#include "src/sched/types.hpp"

#include <span>
#include <vector>

namespace tanagerlead::sched
{

/// The part of a prompt that a target should have cached.
struct prefix_match
{
    base::token_count tokens_ = 0;
    /// Blocks that came in since its last block was used.
    std::uint64_t age_ = 0;
};

/// What one target's prefix cache should hold, going by what was sent to it.
/// Bounded, and about least recently used first out, as the target's own cache
/// is. How much the target keeps is learned from what it says it had cached.
class prefix_index
{
public:
    /// In blocks of `prefix_block_tokens`.
    static constexpr std::size_t default_capacity = 4096;

    explicit prefix_index(std::size_t capacity = default_capacity);

    prefix_match match(std::span<std::uint64_t const> prefix) const;
    /// Leading tokens of the prompt that should be cached.
    base::token_count cached(std::span<std::uint64_t const> prefix) const
    {
        return match(prefix).tokens_;
    }
    /// The target was sent this prompt.
    void add(std::span<std::uint64_t const> prefix);
    /// The target took `cached` tokens of a prompt from its cache when
    /// `expected` had been expected.
    void adjust_capacity(prefix_match const& expected,
                         base::token_count cached);
    /// The target died and its cache with it.
    void clear();

    std::size_t capacity() const { return capacity_; }
    /// New blocks push out old ones.
    bool full() const { return insertions_ >= capacity_; }

private:
    struct block
    {
        std::uint64_t hash_ = 0;
        /// Insertions until it was last touched; zero when unused.
        std::uint64_t last_touch_ = 0;
    };

    std::size_t bucket_of(std::uint64_t hash) const;
    bool is_cached(block const& b) const;
    /// Null when it is not kept.
    block const* find(std::uint64_t hash) const;
    void touch(std::uint64_t hash);

    std::size_t max_capacity_;
    std::size_t capacity_;
    std::size_t buckets_;
    /// Buckets of a few blocks each, in one piece; empty before the first use.
    std::vector<block> blocks_;
    std::uint64_t insertions_ = 0;
};

} // namespace tanagerlead::sched
