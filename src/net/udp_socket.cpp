#include "src/net/udp_socket.hpp"

namespace tanagerlead::net
{

using asio::ip::udp;

udp_socket::udp_socket(asio::io_context& loop, datagram_handler on_datagram)
    : socket_{loop}, on_datagram_{std::move(on_datagram)}
{
}

base::result<void> udp_socket::open(std::string const& ip, std::uint16_t port)
{
    error_code error;
    auto const at = udp::endpoint{asio::ip::make_address_v4(ip, error), port};
    socket_.open(udp::v4(), error);
    if (!error)
    {
        socket_.bind(at, error);
    }
    if (!error)
    {
        socket_.non_blocking(true, error);
    }
    if (error)
    {
        return base::fail(base::error_code::unavailable, "bind datagram port",
                          ip + ":" + std::to_string(port), error.message());
    }
    port_ = socket_.local_endpoint(error).port();
    receive();
    return base::success();
}

void udp_socket::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), from_,
        [this](error_code const& error, std::size_t count)
        {
            if (error == asio::error::operation_aborted || !socket_.is_open())
            {
                return;
            }
            // An error here is a delayed report that an earlier datagram went
            // to a closed port of a peer. Receiving continues.
            if (!error)
            {
                on_datagram_(from_.address().to_v4().to_uint(),
                             {buffer_.data(), count});
            }
            receive();
        });
}

void udp_socket::send(std::uint32_t to_ip, std::string const& bytes)
{
    error_code error;
    socket_.send_to(asio::buffer(bytes),
                    udp::endpoint{asio::ip::address_v4{to_ip}, port_}, 0,
                    error);
    // Errors are ignored: each report is complete, so the next one replaces a
    // lost one.
}

void udp_socket::close()
{
    error_code error;
    socket_.close(error);
}

} // namespace tanagerlead::net
