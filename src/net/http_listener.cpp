#include "src/net/http_listener.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace tanagerlead::net
{

namespace
{

/// Delay before the next accept after one failed, for example because the
/// process has no free file descriptors.
constexpr base::duration accept_retry_delay = std::chrono::milliseconds{50};

} // namespace

http_listener::http_listener(asio::io_context& loop,
                             std::size_t max_connections, handler on_request)
    : loop_{loop}, acceptor_{loop},
      max_connections_{max_connections}, handler_{std::move(on_request)}
{
}

base::result<void> http_listener::listen(base::address const& at)
{
    error_code error;
    auto const endpoint = to_endpoint(at);
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
    {
        acceptor_.set_option(tcp::acceptor::reuse_address{true}, error);
        acceptor_.bind(endpoint, error);
    }
    if (!error)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return base::fail(base::error_code::unavailable, "listen", at.str(),
                          error.message());
    }
    accept();
    return base::success();
}

base::address http_listener::local_address() const
{
    error_code error;
    return to_address(acceptor_.local_endpoint(error));
}

void http_listener::accept()
{
    acceptor_.async_accept(
        loop_,
        [this](error_code const& error, tcp::socket socket)
        {
            if (error == asio::error::operation_aborted || !acceptor_.is_open())
            {
                return;
            }
            if (error)
            {
                auto const timer = std::make_shared<asio::steady_timer>(
                    loop_, accept_retry_delay);
                timer->async_wait([this, timer](error_code const&)
                                  { accept(); });
                return;
            }
            if (connections_.size() < max_connections_)
            {
                auto const connection = std::make_shared<caller_connection>(
                    std::move(socket), *this);
                connections_.emplace(connection.get(), connection);
                if (shutting_down_)
                {
                    connection->close_after_answer();
                }
                connection->start();
            }
            accept();
        });
}

void http_listener::stop_accepting()
{
    error_code error;
    acceptor_.close(error);
}

void http_listener::close_after_answers()
{
    shutting_down_ = true;
    for (auto const& [key, connection] : connections_)
    {
        connection->close_after_answer();
    }
}

void http_listener::close_idle()
{
    for (auto const& connection : copy_connections())
    {
        connection->close_if_idle();
    }
}

void http_listener::abort_all()
{
    for (auto const& connection : copy_connections())
    {
        connection->abort();
    }
}

bool http_listener::is_idle() const
{
    return std::none_of(connections_.begin(), connections_.end(),
                        [](auto const& each) {
                            return each.second->is_busy() ||
                                   each.second->has_unsent();
                        });
}

// A copy, since closing a connection removes it from the table.
std::vector<std::shared_ptr<caller_connection>>
http_listener::copy_connections() const
{
    std::vector<std::shared_ptr<caller_connection>> connections;
    connections.reserve(connections_.size());
    for (auto const& [key, connection] : connections_)
    {
        connections.push_back(connection);
    }
    return connections;
}

void http_listener::on_request(std::shared_ptr<caller_connection> const& from,
                               http_request request)
{
    handler_(from, std::move(request));
}

http_response http_listener::on_bad_request(base::address const& from,
                                            int status)
{
    if (bad_request_handler_)
    {
        return bad_request_handler_(from, status);
    }
    http_response plain;
    plain.status_ = status;
    return plain;
}

// The connection may still be executing a member function, so it is released
// later, from the event loop.
void http_listener::on_closed(caller_connection& connection)
{
    asio::post(loop_, [this, key = &connection] { connections_.erase(key); });
}

} // namespace tanagerlead::net
