#include "src/routing/peer_report.hpp"

#include <xxhash.h>

namespace tanagerlead::routing
{

id_digest digest_of(std::string const& id)
{
    return id_digest{
        static_cast<std::uint32_t>(XXH64(id.data(), id.size(), 0))};
}

char const* name_of(daemon_role role)
{
    switch (role)
    {
    case daemon_role::serving:
        return "serving";
    case daemon_role::active:
        return "active";
    case daemon_role::standby:
        return "standby";
    }
    return "unknown";
}

} // namespace tanagerlead::routing
