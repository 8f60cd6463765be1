#pragma once

#include <cstdint>

namespace tanagerlead::routing
{

/// Counter of the store that rises with each change. It holds for one era of
/// the store only.
enum class store_revision : std::uint64_t
{
};

/// Number of the store's current copy of its data. It rises by one each time
/// the store is restored from an older copy.
enum class store_era : std::uint64_t
{
};

/// The newest change of the registry that a daemon knows.
struct registry_change
{
    store_era era_{};
    store_revision revision_{};

    bool operator==(registry_change const&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(era_, revision_);
    }
};

} // namespace tanagerlead::routing
