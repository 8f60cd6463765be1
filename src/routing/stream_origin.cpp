#include "src/routing/stream_origin.hpp"

#include <xxhash.h>

#include <algorithm>

namespace tanagerlead::routing
{

attempt_digest digest_of_attempt(std::string const& request_id)
{
    return attempt_digest{XXH64(request_id.data(), request_id.size(), 0)};
}

version_digest digest_of(base::pool_id const& pool,
                         base::software_version const& version)
{
    if (version.empty())
    {
        return unknown_version;
    }
    auto const text = pool.str() + '\n' + version.str();
    auto const hash =
        static_cast<std::uint32_t>(XXH64(text.data(), text.size(), 0));
    return version_digest{std::max<std::uint32_t>(hash, 1)};
}

} // namespace tanagerlead::routing
