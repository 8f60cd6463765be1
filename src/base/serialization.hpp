#pragma once

#include <cereal/cereal.hpp>

#include <cassert>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

/// Bounded serialization with cereal, for what other processes send.
namespace tanagerlead::base
{

/// Text of at most 65,535 bytes after a length of two.
template <class Archive>
void serialize_text(Archive& archive, std::string& text)
{
    assert(text.size() <= std::numeric_limits<std::uint16_t>::max());
    auto size = static_cast<std::uint16_t>(text.size());
    archive(size);
    if constexpr (Archive::is_loading::value)
    {
        text.resize(size);
    }
    archive(cereal::binary_data(text.data(), size));
}

/// A list after a count of two bytes. Loading stops at `most` items by
/// throwing cereal::Exception.
template <class Archive, class Item>
void serialize_list(Archive& archive, std::vector<Item>& items,
                    std::size_t most)
{
    assert(items.size() <= most);
    auto count = static_cast<std::uint16_t>(items.size());
    archive(count);
    if constexpr (Archive::is_loading::value)
    {
        if (count > most)
        {
            throw cereal::Exception{"list too long"};
        }
        items.resize(count);
    }
    for (auto& item : items)
    {
        archive(item);
    }
}

/// Like `serialize_list`, but loading keeps the first `most` items and passes
/// over the others, since a sender of another build may send more.
template <class Archive, class Item>
void serialize_start_of_list(Archive& archive, std::vector<Item>& items,
                             std::size_t most)
{
    if constexpr (Archive::is_loading::value)
    {
        std::uint16_t count = 0;
        archive(count);
        items.clear();
        for (std::size_t i = 0; i < count; ++i)
        {
            Item item{};
            archive(item);
            if (items.size() < most)
            {
                items.push_back(item);
            }
        }
    }
    else
    {
        serialize_list(archive, items, most);
    }
}

} // namespace tanagerlead::base
