#pragma once

#include "src/routing/target_info.hpp"

#include <cstdint>

namespace tanagerlead::routing
{

/// Requests a second.
struct request_rate
{
    double per_second_ = 0;

    bool operator==(request_rate const&) const = default;
};

/// What a target said about its limit, as daemons tell each other.
struct limit_statement
{
    incarnation_digest target_{};
    /// 0: the target named no limit any more.
    std::uint32_t milli_per_second_ = 0;
    /// Time since the request was sent that the target answered.
    std::uint16_t age_ms_ = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(target_, milli_per_second_, age_ms_);
    }
};

} // namespace tanagerlead::routing
