#pragma once

#include "src/base/address.hpp"
#include "src/base/ids.hpp"

#include <cstdint>

/// Which daemons are alive.
namespace tanagerlead::membership
{

enum class member_state : std::uint8_t
{
    alive,
    suspect,
    /// Planned stop: finishes what it holds and takes nothing new.
    leaving,
    dead,
};

char const* to_string(member_state state);

/// One daemon as its peers know it.
struct member
{
    base::daemon_id daemon_;
    base::host_id host_;
    base::data_centre_id data_centre_;
    base::address peer_address_;
    base::address http_address_;
    /// Rises with each life of the daemon and each refutation of a suspicion.
    base::incarnation incarnation_{};
    /// `request_id::origin_` of the requests this life submits.
    std::uint64_t origin_ = 0;
    member_state state_ = member_state::alive;
    /// Configuration in force there.
    base::config_version config_version_{};
};

} // namespace tanagerlead::membership
