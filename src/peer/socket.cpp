#include "src/peer/socket.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace tanagerlead::peer
{

socket::~socket()
{
    if (descriptor_ >= 0)
    {
        ::close(descriptor_);
    }
}

void socket::shut_down() const
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

sockaddr_in native(base::address const& from)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(from.port_);
    inet_pton(AF_INET, from.ip_.c_str(), &to.sin_addr);
    return to;
}

base::address from_native(sockaddr_in const& from)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(from.sin_port)};
}

base::result<socket> bind_socket(int type, base::address const& to)
{
    auto const failed = [&to](char const* what)
    {
        return base::fail(base::error_code::unavailable, "bind peer socket",
                          to.str(),
                          std::string{what} + ": " + std::strerror(errno));
    };
    socket bound{::socket(AF_INET, type | SOCK_CLOEXEC, 0)};
    if (!bound.is_open())
    {
        return failed("socket");
    }
    int const on = 1;
    if (type == SOCK_STREAM)
    {
        ::setsockopt(bound.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    auto const wanted = native(to);
    if (::bind(bound.get(), reinterpret_cast<sockaddr const*>(&wanted),
               sizeof wanted) != 0)
    {
        return failed("bind");
    }
    return bound;
}

base::address local_address(socket const& bound)
{
    sockaddr_in local{};
    socklen_t size = sizeof local;
    ::getsockname(bound.get(), reinterpret_cast<sockaddr*>(&local), &size);
    return from_native(local);
}

} // namespace tanagerlead::peer
