#pragma once

#include "src/sched/types.hpp"

#include <span>
#include <vector>

namespace tanagerlead::sched
{

/// Leading part of a prompt that a target probably has cached.
struct prefix_match
{
    base::token_count tokens_ = 0;
    /// Blocks inserted since the last block of this part was used.
    std::uint64_t age_ = 0;
};

/// Model of one target's prefix cache, built from the prompts sent to the
/// target. Bounded, with approximately least-recently-used eviction like the
/// target's own cache. The capacity adapts to the cached tokens that the target
/// reports.
class prefix_index
{
public:
    /// In blocks of `prefix_block_tokens`.
    static constexpr std::size_t default_capacity = 4096;

    explicit prefix_index(std::size_t capacity = default_capacity);

    prefix_match match(std::span<std::uint64_t const> prefix) const;
    /// Number of leading prompt tokens that are probably cached.
    base::token_count cached(std::span<std::uint64_t const> prefix) const
    {
        return match(prefix).tokens_;
    }
    /// Records that the target was sent this prompt.
    void add(std::span<std::uint64_t const> prefix);
    /// Adapts the capacity after the target took `cached` tokens of a prompt
    /// from its cache where `expected` was predicted.
    void adjust_capacity(prefix_match const& expected,
                         base::token_count cached);
    /// Forgets all blocks; for a target that died and lost its cache.
    void clear();

    std::size_t capacity() const { return capacity_; }
    /// Whether new blocks evict old ones.
    bool full() const { return insertions_ >= capacity_; }

private:
    struct block
    {
        std::uint64_t hash_ = 0;
        /// Value of `insertions_` when the block was last touched; zero when
        /// unused.
        std::uint64_t last_touch_ = 0;
    };

    std::size_t bucket_of(std::uint64_t hash) const;
    bool is_cached(block const& b) const;
    /// Null if the block is not cached.
    block const* find(std::uint64_t hash) const;
    void touch(std::uint64_t hash);

    std::size_t max_capacity_;
    std::size_t capacity_;
    std::size_t buckets_;
    /// Buckets of a few blocks each, stored contiguously; empty before the
    /// first use.
    std::vector<block> blocks_;
    std::uint64_t insertions_ = 0;
};

} // namespace tanagerlead::sched
