#pragma once

#include <cstdint>

namespace tanagerlead::routing
{

/// IPv4 number of another daemon.
enum class peer_ip : std::uint32_t
{
};

} // namespace tanagerlead::routing
