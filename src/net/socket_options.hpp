#pragma once

#include "src/base/address.hpp"
#include "src/base/units.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace tanagerlead::net
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Disables the delay of small writes and detects a peer that stopped
/// responding: the connection fails when sent data stay unacknowledged for
/// `send_timeout`, and an idle connection is probed every second.
void set_socket_options(tcp::socket& socket, base::duration send_timeout);

tcp::endpoint to_endpoint(base::address const& address);
base::address to_address(tcp::endpoint const& endpoint);

} // namespace tanagerlead::net
