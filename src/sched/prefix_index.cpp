#include "src/sched/prefix_index.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

namespace
{

constexpr std::size_t least_capacity = 64;
/// What is left of the capacity when the target had evicted more than we
/// thought.
constexpr double shrink = 0.9;

} // namespace

// A prompt's blocks are touched last to first, so a block is always more
// recent than those that build on it: what is kept of a prompt is a leading
// part, and its end can be found by bisection.
base::token_count
prefix_index::cached(std::span<std::uint64_t const> prefix) const
{
    if (prefix.empty() || !blocks_.contains(prefix.front()))
    {
        return 0;
    }
    auto const end = std::partition_point(prefix.begin(), prefix.end(),
                                          [this](auto hash)
                                          { return blocks_.contains(hash); });
    return (end - prefix.begin()) * prefix_block_tokens;
}

void prefix_index::add(std::span<std::uint64_t const> prefix)
{
    auto const kept = prefix.first(std::min(prefix.size(), capacity_));
    for (auto hash = kept.rbegin(); hash != kept.rend(); ++hash)
    {
        auto const [place, inserted] = blocks_.try_emplace(*hash);
        if (inserted)
        {
            recent_.push_front(*hash);
            place->second = recent_.begin();
        }
        else
        {
            recent_.splice(recent_.begin(), recent_, place->second);
        }
    }
    evict();
}

void prefix_index::evict()
{
    while (blocks_.size() > capacity_)
    {
        blocks_.erase(recent_.back());
        recent_.pop_back();
    }
}

void prefix_index::correct(std::span<std::uint64_t const> prefix,
                           base::token_count expected, base::token_count cached)
{
    // A target counts whole blocks of its own size; a difference of one block
    // is no miss.
    if (cached + prefix_block_tokens >= expected)
    {
        return;
    }
    // The prompt itself is in the cache now; what was older than its missing
    // part is gone from there, so keep less in future.
    auto const smaller = static_cast<double>(blocks_.size()) * shrink;
    capacity_ = std::max(
        {least_capacity, prefix.size(), static_cast<std::size_t>(smaller)});
    evict();
}

void prefix_index::clear()
{
    recent_.clear();
    blocks_.clear();
}

} // namespace tanagerlead::sched
