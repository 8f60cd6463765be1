#include "src/routing/prefix_memory.hpp"

#include "src/base/random.hpp"

#include <algorithm>
#include <array>

namespace tanagerlead::routing
{

namespace
{

std::uint64_t extend(std::uint64_t chain, prompt_part part)
{
    return base::random_source{chain ^ static_cast<std::uint64_t>(part)}();
}

} // namespace

prefix_memory::kept_part const* prefix_memory::find(std::uint64_t chain) const
{
    auto const found =
        std::find_if(parts_.begin(), parts_.end(),
                     [chain](kept_part const& p) { return p.chain_ == chain; });
    return found == parts_.end() ? nullptr : &*found;
}

void prefix_memory::on_read(sized_prompt_parts const& prompt,
                            base::token_count room, base::time_point now)
{
    std::array<kept_part, max_sized_parts> read;
    auto const count = std::min(prompt.size(), read.size());
    std::uint64_t chain = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        chain = extend(chain, prompt[i].part_);
        read.at(i) = {chain, prompt[i].tokens_, now};
        std::erase_if(parts_, [chain](kept_part const& p)
                      { return p.chain_ == chain; });
    }
    // A beginning stays for longer than what follows it.
    parts_.insert(parts_.begin(), read.begin(),
                  read.begin() + static_cast<std::ptrdiff_t>(count));
    base::token_count sum = 0;
    std::size_t fitting = 0;
    while (fitting < std::min(parts_.size(), max_parts) &&
           sum + parts_[fitting].tokens_ <= room)
    {
        sum += parts_[fitting].tokens_;
        ++fitting;
    }
    parts_.resize(fitting);
}

base::token_count prefix_memory::kept(sized_prompt_parts const& prompt,
                                      base::time_point now) const
{
    base::token_count sum = 0;
    std::uint64_t chain = 0;
    // Few targets hold a given beginning, so the search mostly ends early.
    for (auto const& part : prompt)
    {
        chain = extend(chain, part.part_);
        auto const* const here = parts_.empty() ? nullptr : find(chain);
        if (here == nullptr || now - here->used_at_ > max_unused)
        {
            break;
        }
        sum += part.tokens_;
    }
    return sum;
}

} // namespace tanagerlead::routing
