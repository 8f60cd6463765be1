#pragma once

#include "src/base/error.hpp"
#include "src/net/caller_connection.hpp"

#include <absl/container/flat_hash_map.h>

namespace tanagerlead::net
{

/// HTTP/1.1 server at one address. Accepts connections and owns them.
class http_listener final : public connection_owner
{
public:
    using handler = std::function<void(
        std::shared_ptr<caller_connection> const&, http_request)>;
    using bad_request_handler =
        std::function<http_response(base::address const&, int status)>;

    /// Connections beyond `max_connections` are closed when accepted.
    http_listener(asio::io_context& loop, std::size_t max_connections,
                  handler on_request);

    /// Binds and starts to accept. With port 0 the operating system chooses a
    /// port. Errors: `unavailable`.
    base::result<void> listen(base::address const& at);
    base::address local_address() const;
    void set_limits(connection_limits limits) { limits_ = limits; }
    /// Sets the function that builds answers to bad requests. Without one the
    /// answer has a status and no body.
    void set_bad_request_handler(bad_request_handler answer)
    {
        bad_request_handler_ = std::move(answer);
    }

    /// Stops accepting connections; open ones stay.
    void stop_accepting();
    /// Makes each further answer close its connection.
    void close_after_answers();
    /// Closes the connections on which no request is being read or answered.
    void close_idle();
    /// Closes all connections at once, also those with unfinished answers.
    void abort_all();
    /// Whether no request is being answered and no output waits to be sent.
    bool is_idle() const;
    std::size_t connection_count() const { return connections_.size(); }

    connection_limits limits() const override { return limits_; }
    void on_request(std::shared_ptr<caller_connection> const& from,
                    http_request request) override;
    http_response on_bad_request(base::address const& from,
                                 int status) override;
    void on_closed(caller_connection& connection) override;

private:
    void accept();
    std::vector<std::shared_ptr<caller_connection>> copy_connections() const;

    asio::io_context& loop_;
    tcp::acceptor acceptor_;
    std::size_t max_connections_;
    handler handler_;
    bad_request_handler bad_request_handler_;
    connection_limits limits_;
    bool shutting_down_ = false;
    absl::flat_hash_map<caller_connection*, std::shared_ptr<caller_connection>>
        connections_;
};

} // namespace tanagerlead::net
