#pragma once

#include "src/base/address.hpp"
#include "src/base/units.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace tanagerlead::net
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Sends small writes at once and notices a silent peer: unanswered data fail
/// after `patience`, an idle connection is probed every second.
void set_socket_options(tcp::socket& socket, base::duration send_timeout);

tcp::endpoint to_endpoint(base::address const& address);
base::address to_address(tcp::endpoint const& endpoint);

} // namespace tanagerlead::net
