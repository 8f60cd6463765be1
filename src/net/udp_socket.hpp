#pragma once

#include "src/base/error.hpp"
#include "src/net/event_loop.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <string>

namespace tanagerlead::net
{

/// Datagrams at one port.
class udp_socket
{
public:
    using datagram_handler =
        std::function<void(std::uint32_t from_ip, std::string_view bytes)>;

    udp_socket(asio::io_context& loop, datagram_handler on_datagram);

    base::result<void> open(std::string const& ip, std::uint16_t port);
    /// Lost when the system cannot take it.
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
