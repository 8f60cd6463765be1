#include "src/net/socket_options.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <netinet/tcp.h>

namespace tanagerlead::net
{

namespace
{

/// Seconds without traffic before the first keep-alive probe, and between
/// probes.
constexpr int probe_seconds = 1;
/// The connection fails after this many unanswered probes.
constexpr int max_probes = 2;

void set_int_option(tcp::socket& socket, int level, int name, int value)
{
    // The call fails on a socket that is already closing; the next operation on
    // the socket reports the error.
    (void)::setsockopt(socket.native_handle(), level, name, &value,
                       sizeof value);
}

} // namespace

void set_socket_options(tcp::socket& socket, base::duration send_timeout)
{
    auto const ms = static_cast<int>(base::milliseconds(send_timeout));
    set_int_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_int_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_int_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_seconds);
    set_int_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_seconds);
    set_int_option(socket, IPPROTO_TCP, TCP_KEEPCNT, max_probes);
    set_int_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, ms);
}

tcp::endpoint to_endpoint(base::address const& address)
{
    boost::system::error_code error;
    auto const ip = asio::ip::make_address_v4(address.ip_, error);
    return {ip, address.port_};
}

base::address to_address(tcp::endpoint const& endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace tanagerlead::net
