#include "tests/entry/scripted_target.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <chrono>
#include <cstdio>

namespace tanagerlead::test
{

scripted_target::scripted_target(script answers)
    : script_{std::move(answers)}, listener_{::socket(AF_INET, SOCK_STREAM, 0)}
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto const bound =
        ::bind(listener_, reinterpret_cast<sockaddr*>(&name), sizeof name);
    auto const listens = ::listen(listener_, 16);
    assert(bound == 0 && listens == 0);
    (void)bound;
    (void)listens;
    socklen_t size = sizeof name;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &size);
    address_ = {"127.0.0.1", ntohs(name.sin_port)};
    thread_ = std::thread{[this]
                          {
                              accept_loop();
                          }};
}

scripted_target::~scripted_target()
{
    {
        std::lock_guard const lock{mutex_};
        is_stopping_ = true;
        if (connection_ >= 0)
        {
            ::shutdown(connection_, SHUT_RDWR);
        }
    }
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
}

std::vector<std::string> scripted_target::requests() const
{
    std::lock_guard const lock{mutex_};
    return requests_;
}

std::size_t scripted_target::endless_bytes() const
{
    std::lock_guard const lock{mutex_};
    return endless_bytes_;
}

bool scripted_target::has_peer_closed() const
{
    std::lock_guard const lock{mutex_};
    return has_peer_closed_;
}

bool scripted_target::has_crashed() const
{
    std::lock_guard const lock{mutex_};
    return has_crashed_;
}

void scripted_target::crash()
{
    ::shutdown(listener_, SHUT_RDWR);
    std::lock_guard const lock{mutex_};
    has_crashed_ = true;
}

void scripted_target::accept_loop()
{
    while (true)
    {
        auto const socket = ::accept(listener_, nullptr, nullptr);
        if (socket < 0)
        {
            return;
        }
        {
            std::lock_guard const lock{mutex_};
            if (is_stopping_)
            {
                ::close(socket);
                return;
            }
            connection_ = socket;
        }
        serve(socket);
        std::lock_guard const lock{mutex_};
        ::close(socket);
        connection_ = -1;
    }
}

bool scripted_target::read_request(int socket, std::string& pending,
                                   std::string& request)
{
    while (true)
    {
        auto const head_end = pending.find("\r\n\r\n");
        if (head_end != std::string::npos)
        {
            auto const length = header_value(pending, "Content-Length");
            auto const size =
                head_end + 4 + (length.empty() ? 0 : std::stoul(length));
            if (pending.size() >= size)
            {
                request = pending.substr(0, size);
                pending.erase(0, size);
                return true;
            }
        }
        std::array<char, 4096> bytes{};
        auto const got = ::recv(socket, bytes.data(), bytes.size(), 0);
        if (got <= 0)
        {
            return false;
        }
        pending.append(bytes.data(), static_cast<std::size_t>(got));
    }
}

void scripted_target::serve(int socket)
{
    std::string pending;
    std::string request;
    while (read_request(socket, pending, request))
    {
        {
            std::lock_guard const lock{mutex_};
            requests_.push_back(request);
        }
        if (!run_steps(socket, script_(request)))
        {
            return;
        }
    }
}

void scripted_target::send_without_end(int socket, std::string const& bytes)
{
    std::size_t sent = 0;
    while (true)
    {
        auto const got =
            ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (got <= 0)
        {
            break;
        }
        sent += static_cast<std::size_t>(got);
    }
    std::lock_guard const lock{mutex_};
    endless_bytes_ += sent;
    has_peer_closed_ = !is_stopping_;
}

bool scripted_target::run_steps(int socket,
                                std::vector<answer_step> const& steps)
{
    for (auto const& step : steps)
    {
        std::array<char, 256> rest{};
        switch (step.action_)
        {
        case answer_step::action::send:
            ::send(socket, step.bytes_.data(), step.bytes_.size(),
                   MSG_NOSIGNAL);
            break;
        case answer_step::action::send_without_end:
            send_without_end(socket, step.bytes_);
            return false;
        case answer_step::action::close:
            return false;
        case answer_step::action::crash:
            crash();
            [[fallthrough]];
        case answer_step::action::reset:
        {
            linger const hard{1, 0};
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            return false;
        }
        case answer_step::action::fall_silent:
            std::this_thread::sleep_for(std::chrono::seconds{1});
            break;
        case answer_step::action::wait_for_peer:
            while (::recv(socket, rest.data(), rest.size(), 0) > 0)
            {
            }
            std::lock_guard const lock{mutex_};
            has_peer_closed_ = !is_stopping_;
            return false;
        }
    }
    return true;
}

std::string header_value(std::string const& request, std::string const& name)
{
    auto const at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos || at > request.find("\r\n\r\n"))
    {
        return {};
    }
    auto const begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

namespace
{

std::string signature_headers(std::string const& request)
{
    return "Tanagerlead-Request-Id: " +
           header_value(request, "Tanagerlead-Request-Id") +
           "\r\nTanagerlead-Server-Signature: proof\r\n";
}

} // namespace

std::string complete_answer(std::string const& request, int status,
                            std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
           signature_headers(request) +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head(std::string const& request)
{
    return "HTTP/1.1 200 OK\r\n" + signature_headers(request) +
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string event_chunk(int id)
{
    auto const event = "id: " + std::to_string(id) + "\ndata: x\n\n";
    std::array<char, 16> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx", event.size());
    return std::string{size.data()} + "\r\n" + event + "\r\n";
}

} // namespace tanagerlead::test
