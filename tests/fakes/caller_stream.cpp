#include "tests/fakes/caller_stream.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace tanagerlead::fakes
{

namespace
{

constexpr std::size_t read_chunk_bytes = 16384;
/// Between looks at whether the server is stopping.
constexpr base::duration stop_poll = std::chrono::milliseconds{100};

bool wait_for(socket_t socket, short events, base::duration longest)
{
    pollfd descriptor{socket, events, 0};
    auto const ms =
        std::chrono::ceil<std::chrono::milliseconds>(longest).count();
    int ready = 0;
    do
    {
        ready = ::poll(&descriptor, 1, static_cast<int>(std::max<long>(ms, 0)));
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

using name_function = int (*)(int, sockaddr*, socklen_t*);

void read_name(name_function function, socket_t socket, std::string& ip,
               int& port)
{
    sockaddr_in name{};
    socklen_t size = sizeof name;
    std::array<char, INET_ADDRSTRLEN> text{};
    if (function(socket, reinterpret_cast<sockaddr*>(&name), &size) != 0 ||
        name.sin_family != AF_INET)
    {
        return;
    }
    ::inet_ntop(AF_INET, &name.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(name.sin_port);
}

} // namespace

caller_stream::caller_stream(socket_t socket,
                             caller_stream_limits const& limits)
    : socket_{socket}, limits_{limits}
{
}

bool caller_stream::wait_for_request(
    base::duration longest, std::atomic<socket_t> const& server_socket) const
{
    auto const until = std::chrono::steady_clock::now() + longest;
    while (pending_.empty() && !wait_for(socket_, POLLIN, stop_poll))
    {
        if (server_socket == INVALID_SOCKET ||
            std::chrono::steady_clock::now() >= until)
        {
            return false;
        }
    }
    return true;
}

base::duration caller_stream::left_for_request() const
{
    return limits_.request_ -
           (std::chrono::steady_clock::now() - request_began_);
}

bool caller_stream::fill()
{
    broken_ = !wait_for(socket_, POLLIN, left_for_request());
    if (broken_)
    {
        return false;
    }
    std::array<char, read_chunk_bytes> chunk;
    auto const got = ::recv(socket_, chunk.data(), chunk.size(), 0);
    broken_ = got <= 0;
    if (broken_)
    {
        return false;
    }
    pending_.append(chunk.data(), static_cast<std::size_t>(got));
    return true;
}

head_state caller_stream::read_head()
{
    constexpr std::string_view end_of_head = "\r\n\r\n";
    request_began_ = std::chrono::steady_clock::now();
    std::size_t searched = 0;
    while (true)
    {
        auto const overlap = std::min(searched, end_of_head.size() - 1);
        auto const end = pending_.find(end_of_head, searched - overlap);
        if (end != std::string::npos)
        {
            return end > limits_.most_head_bytes_ ? head_state::too_large
                                                  : head_state::whole;
        }
        if (pending_.size() > limits_.most_head_bytes_)
        {
            return head_state::too_large;
        }
        searched = pending_.size();
        if (!fill())
        {
            return head_state::gone;
        }
    }
}

bool caller_stream::peer_is_gone() const
{
    char byte = 0;
    auto const got = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

bool caller_stream::is_readable() const
{
    return !pending_.empty() || wait_for(socket_, POLLIN, left_for_request());
}

bool caller_stream::is_writable() const
{
    return !peer_is_gone();
}

ssize_t caller_stream::read(char* to, std::size_t size)
{
    if (pending_.empty() && !fill())
    {
        return -1;
    }
    auto const count = std::min(size, pending_.size());
    std::copy_n(pending_.data(), count, to);
    pending_.erase(0, count);
    return static_cast<ssize_t>(count);
}

ssize_t caller_stream::write(char const* from, std::size_t size)
{
    if (!wait_for(socket_, POLLOUT, limits_.write_))
    {
        return -1;
    }
    return ::send(socket_, from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void caller_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    read_name(&::getpeername, socket_, ip, port);
}

void caller_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    read_name(&::getsockname, socket_, ip, port);
}

} // namespace tanagerlead::fakes
