#pragma once

#include "src/base/random.hpp"
#include "src/net/http_message.hpp"
#include "src/routing/route.hpp"

namespace tanagerlead::entry
{

/// Equal for requests that a target would take for the same.
std::uint64_t fingerprint_of(net::http_request const& request,
                             base::workspace_id const& workspace);

/// The host that a request names, in lower case and without its port.
std::string host_of(net::header_list const& headers);

/// One of the route's pools, by their weights.
base::pool_id choose_pool(routing::route const& r, base::random_source& random);

} // namespace tanagerlead::entry
