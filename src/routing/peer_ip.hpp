#pragma once

#include <cstdint>

namespace tanagerlead::routing
{

/// IPv4 number of another daemon.
enum class peer_ip : std::uint32_t
{
};

/// Rank of a daemon for `key` in rendezvous hashing: the daemons with the
/// highest ranks are chosen, so that a change of the fleet moves few keys.
std::uint64_t rendezvous_rank(peer_ip daemon, std::uint64_t key);

} // namespace tanagerlead::routing
