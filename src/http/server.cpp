#include "src/http/server.hpp"

#include <httplib.h>
#include <sys/socket.h>

namespace tanagerlead::http
{

namespace
{
// The library's own backlog of 5 drops connections of a burst.
constexpr int listen_backlog = 4096;
constexpr time_t read_timeout_seconds = 30;
constexpr time_t write_timeout_seconds = 30;
constexpr time_t keep_alive_timeout_seconds = 15;
constexpr std::size_t keep_alive_requests = 100000;
} // namespace

class server::deep_backlog_server : public httplib::Server
{
public:
    bool deepen_backlog() { return ::listen(svr_sock_, listen_backlog) == 0; }
};

server::server(server_settings settings)
    : settings_{std::move(settings)},
      server_{std::make_unique<deep_backlog_server>()}
{
    auto const threads = static_cast<std::size_t>(settings_.threads_);
    server_->new_task_queue = [threads]
    {
        return new httplib::ThreadPool(threads);
    };
    server_->set_payload_max_length(settings_.most_body_bytes_);
    server_->set_read_timeout(read_timeout_seconds);
    server_->set_write_timeout(write_timeout_seconds);
    server_->set_keep_alive_timeout(keep_alive_timeout_seconds);
    server_->set_keep_alive_max_count(keep_alive_requests);
    server_->set_tcp_nodelay(true);
}

server::~server()
{
    stop();
}

httplib::Server& server::routes()
{
    return *server_;
}

base::result<void> server::bind()
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

base::result<void> server::start()
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

void server::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    server_->stop();
    thread_.join();
}

} // namespace tanagerlead::http
