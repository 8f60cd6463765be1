#include "server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tanagerlead::review
{

using namespace std::chrono_literals;

server::server(address at, handler answer)
    : at_{std::move(at)}, answer_{std::move(answer)}
{
}

server::~server()
{
    crash();
    while (serving_ > 0)
    {
        std::this_thread::sleep_for(10ms);
    }
}

bool server::start()
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const one = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(at_.port_));
    ::inet_pton(AF_INET, at_.ip_.c_str(), &at.sin_addr);
    constexpr int backlog = 512;
    if (::bind(listener_, reinterpret_cast<sockaddr const*>(&at), sizeof at) !=
            0 ||
        ::listen(listener_, backlog) != 0)
    {
        ::close(listener_);
        listener_ = -1;
        return false;
    }
    is_up_ = true;
    acceptor_ = std::thread{[this, listener = listener_]
                            {
                                accept_all(listener);
                            }};
    return true;
}

void server::accept_all(int listener)
{
    while (is_up_)
    {
        pollfd ready{listener, POLLIN, 0};
        if (::poll(&ready, 1, 20) != 1)
        {
            continue;
        }
        auto const fd =
            ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0)
        {
            ++serving_;
            std::thread{[this, fd]
                        {
                            serve(fd);
                            --serving_;
                        }}
                .detach();
        }
    }
}

void server::serve(int fd)
{
    connection from{fd};
    int const one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    from.set_read_timeout(30s);
    {
        std::scoped_lock const lock{mutex_};
        if (!is_up_)
        {
            from.reset_on_close();
            return;
        }
        open_.insert(&from);
    }
    while (is_up_)
    {
        auto const message = from.read_request();
        if (!message || !is_up_ || !answer_(from, *message))
        {
            break;
        }
    }
    std::scoped_lock const lock{mutex_};
    open_.erase(&from);
}

void server::crash()
{
    {
        std::scoped_lock const lock{mutex_};
        if (!is_up_.exchange(false))
        {
            return;
        }
        for (auto* const each : open_)
        {
            each->reset_on_close();
            ::shutdown(each->fd(), SHUT_RD);
        }
    }
    acceptor_.join();
    ::close(listener_);
}

} // namespace tanagerlead::review
