#pragma once

#include "src/base/address.hpp"
#include "src/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace tanagerlead::routing
{

/// Start time of a target in milliseconds since 1970, which tells its restarts
/// apart; 0: unknown.
enum class target_incarnation : std::uint64_t
{
};

/// Hash that identifies one incarnation of a target, also between daemons.
enum class incarnation_digest : std::uint64_t
{
};

/// A target, as it registered itself.
struct target_info
{
    base::target_id id_;
    base::pool_id pool_;
    base::address address_;
    base::data_centre_id data_centre_;
    /// Number of requests that it runs at the same time.
    int slots_ = 1;
    /// It is shutting down and takes no new work.
    bool draining_ = false;
    target_incarnation incarnation_{};
    /// Empty: unknown.
    base::software_version version_;

    bool operator==(target_info const&) const = default;

    /// Whether state kept about the other also holds for this one. A target may
    /// restart under the same id, also at another address or with another
    /// version.
    bool is_same_incarnation(target_info const& other) const
    {
        return id_ == other.id_ && incarnation_ == other.incarnation_ &&
               address_ == other.address_ && version_ == other.version_;
    }
};

/// Equal for two entries of which `is_same_incarnation` holds.
incarnation_digest digest_of(target_info const& target);

} // namespace tanagerlead::routing
