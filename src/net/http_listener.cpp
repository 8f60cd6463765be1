#include "src/net/http_listener.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace tanagerlead::net
{

namespace
{

/// Pause after a failed accept, for example without descriptors.
constexpr base::duration accept_pause = std::chrono::milliseconds{50};

} // namespace

http_listener::http_listener(asio::io_context& loop,
                             std::size_t most_connections, handler on_request)
    : loop_{loop}, acceptor_{loop},
      most_connections_{most_connections}, handler_{std::move(on_request)}
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
                auto const timer =
                    std::make_shared<asio::steady_timer>(loop_, accept_pause);
                timer->async_wait([this, timer](error_code const&)
                                  { accept(); });
                return;
            }
            if (open_.size() < most_connections_)
            {
                auto const fresh = std::make_shared<caller_connection>(
                    std::move(socket), *this);
                open_.emplace(fresh.get(), fresh);
                if (closing_)
                {
                    fresh->close_after_answer();
                }
                fresh->start();
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
    closing_ = true;
    for (auto const& [key, connection] : open_)
    {
        connection->close_after_answer();
    }
}

void http_listener::close_idle()
{
    for (auto const& connection : all())
    {
        connection->close_if_idle();
    }
}

void http_listener::abort_all()
{
    for (auto const& connection : all())
    {
        connection->abort();
    }
}

bool http_listener::is_quiet() const
{
    return std::none_of(open_.begin(), open_.end(),
                        [](auto const& each) {
                            return each.second->is_busy() ||
                                   each.second->has_unsent();
                        });
}

// A copy, since a connection that closes leaves the table.
std::vector<std::shared_ptr<caller_connection>> http_listener::all() const
{
    std::vector<std::shared_ptr<caller_connection>> connections;
    connections.reserve(open_.size());
    for (auto const& [key, connection] : open_)
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
    if (bad_)
    {
        return bad_(from, status);
    }
    http_response plain;
    plain.status_ = status;
    return plain;
}

// The connection may be in the middle of a call of its own.
void http_listener::on_closed(caller_connection& connection)
{
    asio::post(loop_, [this, key = &connection] { open_.erase(key); });
}

} // namespace tanagerlead::net
