#pragma once

#include "src/base/address.hpp"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

namespace tanagerlead::test
{

/// A caller that sends and reads what it likes, and hangs up when destroyed.
class raw_caller
{
public:
    explicit raw_caller(base::address const& to)
        : socket_{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(to.port_);
        ::inet_pton(AF_INET, to.ip_.c_str(), &name.sin_addr);
        connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&name),
                               sizeof name) == 0;
    }

    raw_caller(raw_caller const&) = delete;
    raw_caller& operator=(raw_caller const&) = delete;
    ~raw_caller() { ::close(socket_); }

    void send(std::string const& text) const
    {
        CHECK(connected_);
        ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
    }

    void post(std::string const& path, std::string const& key,
              std::string const& body) const
    {
        send("POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
             key + "\r\nContent-Type: application/json\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// Everything up to the first `mark`, or up to the end.
    std::string read_until(std::string const& mark)
    {
        while (read_.find(mark) == std::string::npos && fill())
        {
        }
        return read_;
    }

    std::string read_to_end()
    {
        while (fill())
        {
        }
        return read_;
    }

private:
    bool fill()
    {
        constexpr int longest_wait_ms = 20000;
        pollfd descriptor{socket_, POLLIN, 0};
        if (::poll(&descriptor, 1, longest_wait_ms) <= 0)
        {
            return false;
        }
        std::array<char, 65536> chunk;
        auto const got = ::recv(socket_, chunk.data(), chunk.size(), 0);
        if (got <= 0)
        {
            return false;
        }
        read_.append(chunk.data(), static_cast<std::size_t>(got));
        return true;
    }

    int const socket_;
    bool connected_ = false;
    std::string read_;
};

} // namespace tanagerlead::test
