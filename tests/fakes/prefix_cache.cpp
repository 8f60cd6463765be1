#include "tests/fakes/prefix_cache.hpp"

#include "tests/fakes/answer_text.hpp"

namespace tanagerlead::fakes
{

prefix_cache::prefix_cache(base::token_count capacity_tokens)
    : capacity_blocks_{
          static_cast<std::size_t>(capacity_tokens / cache_block_tokens)}
{
}

base::token_count prefix_cache::match(std::vector<std::uint64_t> const& blocks)
{
    base::token_count tokens = 0;
    for (auto const block : blocks)
    {
        if (places_.count(block) == 0)
        {
            break;
        }
        tokens += cache_block_tokens;
    }
    // Later blocks are touched first, so that a prefix outlives what needs it.
    for (auto i = static_cast<std::size_t>(tokens / cache_block_tokens); i > 0;
         --i)
    {
        touch(blocks[i - 1]);
    }
    return tokens;
}

void prefix_cache::insert(std::vector<std::uint64_t> const& blocks)
{
    for (auto i = blocks.size(); i > 0; --i)
    {
        touch(blocks[i - 1]);
    }
    while (order_.size() > capacity_blocks_)
    {
        places_.erase(order_.back());
        order_.pop_back();
    }
}

double prefix_cache::usage() const
{
    if (capacity_blocks_ == 0)
    {
        return 0.0;
    }
    return static_cast<double>(order_.size()) /
           static_cast<double>(capacity_blocks_);
}

void prefix_cache::touch(std::uint64_t block)
{
    if (auto const place = places_.find(block); place != places_.end())
    {
        order_.splice(order_.begin(), order_, place->second);
        return;
    }
    order_.push_front(block);
    places_[block] = order_.begin();
}

} // namespace tanagerlead::fakes
