#pragma once

#include "src/base/address.hpp"
#include "src/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace tanagerlead::routing
{

/// Start of one life of a target, in milliseconds since 1970; 0: unknown.
enum class target_incarnation : std::uint64_t
{
};

/// A target as it registered itself.
struct target_info
{
    base::target_id id_;
    base::pool_id pool_;
    base::address address_;
    base::data_centre_id data_centre_;
    /// Requests that it runs at one time.
    int slots_ = 1;
    /// It leaves and takes no new work.
    bool draining_ = false;
    target_incarnation incarnation_{};

    bool operator==(target_info const&) const = default;

    /// Whether what is known of the other still holds: a target may start
    /// again under its id, also at another address.
    bool is_same_incarnation(target_info const& other) const
    {
        return id_ == other.id_ && incarnation_ == other.incarnation_ &&
               address_ == other.address_;
    }
};

} // namespace tanagerlead::routing
