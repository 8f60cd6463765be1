#pragma once

#include "src/base/random.hpp"
#include "src/net/http_message.hpp"
#include "src/routing/route.hpp"

namespace tanagerlead::entry
{

/// Hash of the workspace, path and query, and body; equal for requests that a
/// target cannot tell apart.
std::uint64_t fingerprint_of(net::http_request const& request,
                             base::workspace_id const& workspace);

/// Returns the value of the Host field in lower case and without the port.
std::string host_of(net::header_list const& headers);

/// Chooses one of the route's pools at random, in proportion to their weights.
base::pool_id choose_pool(routing::route const& r, base::random_source& random);

} // namespace tanagerlead::entry
