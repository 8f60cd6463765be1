#pragma once

#include "src/routing/id_digest.hpp"

#include <cstdint>

namespace tanagerlead::routing
{

/// What the targets of a pool last said about being brittle, as daemons tell
/// each other.
struct pool_brittleness
{
    id_digest pool_{};
    /// Rejections that a target stands; 0: the targets are brittle no more.
    std::uint32_t milli_rejections_per_second_ = 0;
    /// Time since the request was sent whose answer said so.
    std::uint32_t age_ms_ = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(pool_, milli_rejections_per_second_, age_ms_);
    }
};

} // namespace tanagerlead::routing
