#include "src/sched/prefix_index.hpp"

#include <algorithm>
#include <bit>

namespace tanagerlead::sched
{

namespace
{

/// A bucket fills a cache line.
constexpr std::size_t bucket_blocks = 4;
/// Slots allocated per block of capacity, so that buckets seldom overflow.
constexpr std::size_t slots_per_block = 2;
constexpr std::size_t min_capacity = 16;
/// A miss sets the capacity to this fraction of the age of the missing part,
/// because the target evicted blocks of that age.
constexpr double shrink_factor = 0.9;
/// Factor by which the capacity grows when the target keeps more than assumed.
constexpr double growth_factor = 1.1;
/// A hit whose age exceeds this fraction of the capacity shows that the target
/// may keep more.
constexpr double near_capacity_fraction = 0.8;
/// A hit of this many tokens more than expected shows that too. A smaller
/// excess may come from an earlier answer, which the index does not know.
constexpr base::token_count unexpected_hit_tokens = 8 * prefix_block_tokens;

} // namespace

prefix_index::prefix_index(std::size_t capacity)
    : max_capacity_{capacity}, capacity_{capacity},
      buckets_{std::bit_ceil(
          std::max<std::size_t>(slots_per_block * capacity / bucket_blocks, 1))}
{
}

std::size_t prefix_index::bucket_of(std::uint64_t hash) const
{
    constexpr std::uint64_t hash_multiplier = 0x9e3779b97f4a7c15U;
    return ((hash * hash_multiplier) >> 32U & (buckets_ - 1)) * bucket_blocks;
}

// An exact list in order of use would cost several cache misses per block. The
// number of insertions since a block was touched gives nearly the same order.
bool prefix_index::is_cached(block const& b) const
{
    return b.last_touch_ != 0 && insertions_ - b.last_touch_ < capacity_;
}

prefix_index::block const* prefix_index::find(std::uint64_t hash) const
{
    auto const* const bucket = &blocks_[bucket_of(hash)];
    auto const* const end = bucket + bucket_blocks;
    auto const* const slot = std::find_if(
        bucket, end,
        [&](block const& b) { return b.hash_ == hash && is_cached(b); });
    return slot == end ? nullptr : slot;
}

// The blocks of a prompt are touched last to first, so a block is no older than
// those that build on it. The cached blocks of a prompt are therefore a leading
// part of it, whose end can be found by bisection.
prefix_match prefix_index::match(std::span<std::uint64_t const> prefix) const
{
    if (blocks_.empty() || prefix.empty() || find(prefix.front()) == nullptr)
    {
        return {};
    }
    auto const end = std::partition_point(prefix.begin(), prefix.end(),
                                          [this](auto hash)
                                          { return find(hash) != nullptr; });
    auto const* const last = find(*std::prev(end));
    return {(end - prefix.begin()) * prefix_block_tokens,
            last == nullptr ? 0 : insertions_ - last->last_touch_};
}

void prefix_index::touch(std::uint64_t hash)
{
    auto* const bucket = &blocks_[bucket_of(hash)];
    auto* const end = bucket + bucket_blocks;
    auto* slot = std::find_if(
        bucket, end,
        [&](block const& b) { return b.hash_ == hash && b.last_touch_ != 0; });
    if (slot == end)
    {
        slot = std::min_element(bucket, end,
                                [](block const& a, block const& b)
                                { return a.last_touch_ < b.last_touch_; });
        *slot = {hash, 0};
    }
    insertions_ += is_cached(*slot) ? 0 : 1;
    slot->last_touch_ = insertions_;
}

void prefix_index::add(std::span<std::uint64_t const> prefix)
{
    if (blocks_.empty() && !prefix.empty())
    {
        blocks_.resize(buckets_ * bucket_blocks);
    }
    auto const first = prefix.first(std::min(prefix.size(), capacity_));
    std::for_each(first.rbegin(), first.rend(),
                  [this](auto hash) { touch(hash); });
}

void prefix_index::adjust_capacity(prefix_match const& expected,
                                   base::token_count cached)
{
    auto const age = static_cast<double>(expected.age_);
    auto const capacity = static_cast<double>(capacity_);
    auto new_capacity = capacity;
    // A target may count in blocks of another size, so a difference of less
    // than one block is not a miss.
    if (cached + prefix_block_tokens < expected.tokens_)
    {
        new_capacity = std::min(capacity, age * shrink_factor);
    }
    else if (age > capacity * near_capacity_fraction ||
             cached > expected.tokens_ + unexpected_hit_tokens)
    {
        new_capacity = capacity * growth_factor + 1;
    }
    auto const lower_limit = std::min(min_capacity, max_capacity_);
    capacity_ = std::clamp(static_cast<std::size_t>(new_capacity), lower_limit,
                           max_capacity_);
}

void prefix_index::clear()
{
    blocks_.clear();
}

} // namespace tanagerlead::sched
