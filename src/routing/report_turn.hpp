#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace tanagerlead::routing
{

/// At most `most` of `items`, from the one with the index `first` on and around
/// the end. Reports that cannot hold all items take turns with it.
template <class Item>
std::vector<Item> take_turn(std::vector<Item> const& items, std::size_t first,
                            std::size_t most)
{
    auto const count = std::min(items.size(), most);
    std::vector<Item> out;
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        out.push_back(items[(first + i) % items.size()]);
    }
    return out;
}

} // namespace tanagerlead::routing
