#pragma once

#include "http.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

namespace tanagerlead::review
{

/// Serves each connection on a thread of its own.
class server
{
public:
    /// Answers one request. False closes the connection.
    using handler = std::function<bool(connection& from, request const&)>;

    server(address at, handler answer);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Listens; false if the port is taken.
    bool start();
    /// Closes the port and resets all connections, as when the process dies.
    void crash();
    bool is_up() const { return is_up_; }
    address const& at() const { return at_; }

private:
    void accept_all(int listener);
    void serve(int fd);

    address at_;
    handler answer_;
    int listener_ = -1;
    std::atomic<bool> is_up_ = false;
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<connection*> open_;
    std::atomic<int> serving_ = 0;
};

} // namespace tanagerlead::review
