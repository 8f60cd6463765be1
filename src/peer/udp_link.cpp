#include "src/peer/udp_link.hpp"

#include <sys/socket.h>

#include <array>

namespace tanagerlead::peer
{

namespace
{
constexpr std::size_t receive_buffer_bytes = 65536;
// A stop is noticed within this time even when nothing arrives.
constexpr timeval receive_timeout{0, 200000};
} // namespace

udp_link::udp_link(socket bound)
    : socket_{std::move(bound)}, local_{peer::local_address(socket_)}
{
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
                 sizeof receive_timeout);
}

udp_link::~udp_link()
{
    stop();
}

void udp_link::send(base::address const& to, std::string bytes)
{
    auto const receiver = native(to);
    auto const sent =
        ::sendto(socket_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr const*>(&receiver), sizeof receiver);
    if (sent < 0)
    {
        ++send_failures_;
        return;
    }
    bytes_sent_ += static_cast<std::uint64_t>(sent);
}

void udp_link::on_receive(
    std::function<void(base::address const&, std::string const&)> arrived)
{
    arrived_ = std::move(arrived);
}

void udp_link::start()
{
    thread_ = std::thread{[this]
                          {
                              receive_loop();
                          }};
}

void udp_link::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    stopping_ = true;
    socket_.shut_down();
    thread_.join();
}

void udp_link::receive_loop()
{
    std::string buffer(receive_buffer_bytes, '\0');
    while (!stopping_)
    {
        sockaddr_in sender{};
        socklen_t size = sizeof sender;
        auto const received =
            ::recvfrom(socket_.get(), buffer.data(), buffer.size(), 0,
                       reinterpret_cast<sockaddr*>(&sender), &size);
        if (received <= 0)
        {
            continue;
        }
        auto const length = static_cast<std::size_t>(received);
        bytes_received_ += length;
        arrived_(from_native(sender), buffer.substr(0, length));
    }
}

} // namespace tanagerlead::peer
