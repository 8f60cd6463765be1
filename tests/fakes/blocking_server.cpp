#include "tests/fakes/blocking_server.hpp"

#include "src/http/worker_pool.hpp"
#include "tests/fakes/caller_stream.hpp"

#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tanagerlead::fakes
{

namespace
{

// The library's own backlog of 5 drops connections of a burst.
constexpr int listen_backlog = 4096;
constexpr std::size_t requests_per_connection = 100000;

/// Threads are made as connections come.
class growing_task_queue final : public httplib::TaskQueue
{
public:
    explicit growing_task_queue(std::size_t most_threads)
        : workers_{most_threads}
    {
    }

    void enqueue(std::function<void()> work) override
    {
        workers_.post(std::move(work));
    }

    void shutdown() override { workers_.stop(); }

private:
    http::worker_pool workers_;
};

std::string const head_too_large =
    "HTTP/1.1 431 Request Header Fields Too Large\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n";

} // namespace

class blocking_server::deep_backlog_server : public httplib::Server
{
public:
    explicit deep_backlog_server(blocking_server_settings const& settings)
        : settings_{settings}
    {
    }

    bool deepen_backlog() { return ::listen(svr_sock_, listen_backlog) == 0; }

private:
    // NOLINTNEXTLINE(readability-identifier-naming)
    bool process_and_close_socket(socket_t socket) override
    {
        caller_stream stream{socket,
                             {settings_.longest_request_,
                              settings_.longest_write_,
                              settings_.most_head_bytes_}};
        auto left = requests_per_connection;
        while (left > 0 &&
               stream.wait_for_request(settings_.keep_idle_, svr_sock_) &&
               serve_one(stream, left == 1))
        {
            --left;
        }
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
        return true;
    }

    bool serve_one(caller_stream& stream, bool last)
    {
        switch (stream.read_head())
        {
        case head_state::gone:
            return false;
        case head_state::too_large:
            stream.Stream::write(head_too_large);
            return false;
        case head_state::whole:
            break;
        }
        bool closed = false;
        return process_request(stream, last, closed, nullptr) && !closed &&
               !stream.broken();
    }

    blocking_server_settings const& settings_;
};

blocking_server::blocking_server(blocking_server_settings settings)
    : settings_{std::move(settings)}, server_{
                                          std::make_unique<deep_backlog_server>(
                                              settings_)}
{
    auto const threads = static_cast<std::size_t>(settings_.threads_);
    server_->new_task_queue = [threads]
    {
        return new growing_task_queue(threads);
    };
    server_->set_payload_max_length(settings_.most_body_bytes_);
    server_->set_tcp_nodelay(true);
}

blocking_server::~blocking_server()
{
    stop();
}

httplib::Server& blocking_server::routes()
{
    return *server_;
}

base::result<void> blocking_server::bind()
{
    auto const wanted = settings_.listen_.str();
    int port = settings_.listen_.port_;
    bool taken = true;
    if (port == 0)
    {
        port = server_->bind_to_any_port(settings_.listen_.ip_);
        taken = port > 0;
    }
    else
    {
        taken = server_->bind_to_port(settings_.listen_.ip_, port);
    }
    if (!taken || !server_->deepen_backlog())
    {
        return base::fail(base::error_code::unavailable, "listen for HTTP",
                          wanted, "cannot bind");
    }
    local_ = {settings_.listen_.ip_, static_cast<std::uint16_t>(port)};
    bound_ = true;
    return base::success();
}

base::result<void> blocking_server::start()
{
    if (!bound_)
    {
        auto const taken = bind();
        if (!taken)
        {
            return taken.error();
        }
    }
    thread_ = std::thread{[this]
                          {
                              server_->listen_after_bind();
                          }};
    // A stop before the loop runs would be lost.
    while (!server_->is_running())
    {
        std::this_thread::yield();
    }
    return base::success();
}

void blocking_server::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    server_->stop();
    thread_.join();
}

} // namespace tanagerlead::fakes
