#pragma once

#include "src/base/error.hpp"
#include "src/net/event_loop.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <string>

namespace tanagerlead::net
{

/// Sends and receives IPv4 datagrams on one port, which is also the port of all
/// peers.
class udp_socket
{
public:
    using datagram_handler =
        std::function<void(std::uint32_t from_ip, std::string_view bytes)>;

    udp_socket(asio::io_context& loop, datagram_handler on_datagram);

    /// Binds and starts to receive. Errors: `unavailable`.
    base::result<void> open(std::string const& ip, std::uint16_t port);
    /// The datagram is dropped if the operating system does not accept it.
    void send(std::uint32_t to_ip, std::string const& bytes);
    void close();

private:
    void receive();

    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint from_;
    std::array<char, 2048> buffer_{};
    datagram_handler on_datagram_;
    std::uint16_t port_ = 0;
};

} // namespace tanagerlead::net
