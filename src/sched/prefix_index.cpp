#include "src/sched/prefix_index.hpp"

#include <algorithm>
#include <bit>

namespace tanagerlead::sched
{

namespace
{

/// A bucket fills a cache line.
constexpr std::size_t bucket_blocks = 4;
/// Room per block of capacity, so that buckets seldom overflow.
constexpr std::size_t spare = 2;
constexpr std::size_t least_capacity = 16;
/// The target keeps less than what it had evicted was old.
constexpr double shrink = 0.9;
/// It keeps more than was thought.
constexpr double growth = 1.1;
/// A hit this near to the capacity shows that there may be more.
constexpr double near_capacity = 0.8;
/// A hit of this many tokens more than expected does so too; less may be an
/// earlier answer, which is not known here.
constexpr base::token_count surprise = 8 * prefix_block_tokens;

} // namespace

prefix_index::prefix_index(std::size_t capacity)
    : most_capacity_{capacity}, capacity_{capacity},
      buckets_{std::bit_ceil(
          std::max<std::size_t>(spare * capacity / bucket_blocks, 1))}
{
}

std::size_t prefix_index::bucket_of(std::uint64_t hash) const
{
    constexpr std::uint64_t mix = 0x9e3779b97f4a7c15U;
    return ((hash * mix) >> 32U & (buckets_ - 1)) * bucket_blocks;
}

// A list in order of use would be exact, but costs several cache misses a
// block. Counting the insertions since a block was touched gives nearly the
// same order.
bool prefix_index::kept(block const& b) const
{
    return b.stamp_ != 0 && insertions_ - b.stamp_ < capacity_;
}

prefix_index::block const* prefix_index::find(std::uint64_t hash) const
{
    auto const* const bucket = &blocks_[bucket_of(hash)];
    auto const* const end = bucket + bucket_blocks;
    auto const* const place = std::find_if(
        bucket, end,
        [&](block const& b) { return b.hash_ == hash && kept(b); });
    return place == end ? nullptr : place;
}

// A prompt's blocks are touched last to first, so a block is no older than
// those that build on it: what is kept of a prompt is a leading part, and its
// end can be found by bisection.
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
            last == nullptr ? 0 : insertions_ - last->stamp_};
}

void prefix_index::touch(std::uint64_t hash)
{
    auto* const bucket = &blocks_[bucket_of(hash)];
    auto* const end = bucket + bucket_blocks;
    auto* place = std::find_if(bucket, end,
                               [&](block const& b)
                               { return b.hash_ == hash && b.stamp_ != 0; });
    if (place == end)
    {
        place = std::min_element(bucket, end,
                                 [](block const& a, block const& b)
                                 { return a.stamp_ < b.stamp_; });
        *place = {hash, 0};
    }
    insertions_ += kept(*place) ? 0 : 1;
    place->stamp_ = insertions_;
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

void prefix_index::correct(prefix_match const& expected,
                           base::token_count cached)
{
    auto const age = static_cast<double>(expected.age_);
    auto const capacity = static_cast<double>(capacity_);
    auto changed = capacity;
    // A target may count in blocks of another size; less than a block is no
    // miss.
    if (cached + prefix_block_tokens < expected.tokens_)
    {
        changed = std::min(capacity, age * shrink);
    }
    else if (age > capacity * near_capacity ||
             cached > expected.tokens_ + surprise)
    {
        changed = capacity * growth + 1;
    }
    auto const least = std::min(least_capacity, most_capacity_);
    capacity_ =
        std::clamp(static_cast<std::size_t>(changed), least, most_capacity_);
}

void prefix_index::clear()
{
    blocks_.clear();
}

} // namespace tanagerlead::sched
