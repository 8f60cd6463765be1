#pragma once

#include "src/http/target_connection.hpp"
#include "src/net/channel.hpp"

namespace tanagerlead::http
{

/// One request and its answer on a connection of its own.
class http_exchange final : public net::answer_sink,
                            public std::enable_shared_from_this<http_exchange>
{
public:
    http_exchange(net::asio::io_context& loop, base::address const& target,
                  target_call const& call, connection_limits const& limits,
                  target_listener& listener);

    void start();
    /// Ends it: as not sent before it is connected, else as stopped.
    void stop();
    /// Closes the connection; the listener hears nothing more.
    void abandon();

private:
    net::head_action on_head(net::http_response const& head) override;
    void on_body(std::string_view bytes) override;
    void on_complete(net::answer_end end) override;
    void on_broken(std::string const& detail) override;

    void on_connected(net::error_code const& error);
    void finish(exchange_end end);

    net::asio::io_context& loop_;
    net::http_request request_;
    connection_limits limits_;
    /// Null once it has been told the end, or is gone.
    target_listener* listener_;
    std::shared_ptr<net::channel> channel_;
    net::deadline_timer silence_;
    /// The end was found and is on its way to the listener.
    bool ended_ = false;
    /// Whether a cut can be told from the end of the body.
    bool refused_ = false;
    bool connected_ = false;
};

} // namespace tanagerlead::http
