#include "src/routing/peer_ip.hpp"

#include <xxhash.h>

namespace tanagerlead::routing
{

std::uint64_t rendezvous_rank(peer_ip daemon, std::uint64_t key)
{
    auto const number = static_cast<std::uint32_t>(daemon);
    return XXH64(&number, sizeof number, key);
}

} // namespace tanagerlead::routing
