#include "src/peer/tcp_link.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace tanagerlead::peer
{

namespace
{

constexpr int listen_backlog = 64;
// Of each read, write and connect.
constexpr timeval io_timeout{2, 0};
constexpr int accept_poll_ms = 200;

void set_timeouts(socket const& connection)
{
    ::setsockopt(connection.get(), SOL_SOCKET, SO_RCVTIMEO, &io_timeout,
                 sizeof io_timeout);
    ::setsockopt(connection.get(), SOL_SOCKET, SO_SNDTIMEO, &io_timeout,
                 sizeof io_timeout);
}

bool send_all(socket const& connection, char const* data, std::size_t size)
{
    while (size > 0)
    {
        auto const sent = ::send(connection.get(), data, size, MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

bool receive_all(socket const& connection, char* data, std::size_t size)
{
    while (size > 0)
    {
        auto const received = ::recv(connection.get(), data, size, 0);
        if (received <= 0)
        {
            return false;
        }
        data += received;
        size -= static_cast<std::size_t>(received);
    }
    return true;
}

bool send_frame(socket const& connection, std::string const& bytes)
{
    auto const length = htonl(static_cast<std::uint32_t>(bytes.size()));
    return send_all(connection, reinterpret_cast<char const*>(&length),
                    sizeof length) &&
           send_all(connection, bytes.data(), bytes.size());
}

bool receive_frame(socket const& connection, std::string& bytes)
{
    std::uint32_t length = 0;
    if (!receive_all(connection, reinterpret_cast<char*>(&length),
                     sizeof length))
    {
        return false;
    }
    length = ntohl(length);
    if (length > tcp_link::most_frame_bytes)
    {
        return false;
    }
    // Grows as bytes arrive: a length alone must not take memory.
    constexpr std::size_t step = std::size_t{64} << 10U;
    bytes.clear();
    while (bytes.size() < length)
    {
        auto const begin = bytes.size();
        bytes.resize(std::min<std::size_t>(length, begin + step));
        if (!receive_all(connection, bytes.data() + begin,
                         bytes.size() - begin))
        {
            return false;
        }
    }
    return true;
}

} // namespace

tcp_link::tcp_link(socket bound) : listener_{std::move(bound)}
{
}

tcp_link::~tcp_link()
{
    stop();
}

base::result<std::string> tcp_link::call(base::address const& to,
                                         std::string const& bytes)
{
    auto const failed = [&to](base::error_code code, char const* what)
    {
        return base::fail(code, "call peer", to.str(),
                          std::string{what} + ": " + std::strerror(errno));
    };
    socket connection{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    set_timeouts(connection);
    auto const receiver = native(to);
    if (::connect(connection.get(),
                  reinterpret_cast<sockaddr const*>(&receiver),
                  sizeof receiver) != 0)
    {
        return failed(base::error_code::not_sent, "connect");
    }
    std::string answer;
    if (!send_frame(connection, bytes) || !receive_frame(connection, answer))
    {
        return failed(base::error_code::unknown_effect, "exchange");
    }
    return answer;
}

void tcp_link::on_call(std::function<std::string(std::string const&)> answer)
{
    answer_ = std::move(answer);
}

base::result<void> tcp_link::start()
{
    if (::listen(listener_.get(), listen_backlog) != 0)
    {
        return base::fail(base::error_code::unavailable, "listen for peers",
                          local_address(listener_).str(), std::strerror(errno));
    }
    thread_ = std::thread{[this]
                          {
                              accept_loop();
                          }};
    return base::success();
}

void tcp_link::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    stopping_ = true;
    // Wakes the accept on Linux.
    listener_.shut_down();
    thread_.join();
}

void tcp_link::accept_loop()
{
    while (!stopping_)
    {
        socket const connection{
            ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC)};
        if (connection.is_open())
        {
            serve(connection);
        }
        else if (!stopping_)
        {
            // Out of descriptors, for example: do not spin.
            std::this_thread::sleep_for(
                std::chrono::milliseconds{accept_poll_ms});
        }
    }
}

void tcp_link::serve(socket const& connection)
{
    set_timeouts(connection);
    std::string request;
    if (receive_frame(connection, request))
    {
        send_frame(connection, answer_(request));
    }
}

} // namespace tanagerlead::peer
