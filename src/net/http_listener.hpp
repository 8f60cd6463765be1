#pragma once

#include "src/base/error.hpp"
#include "src/net/caller_connection.hpp"

#include <absl/container/flat_hash_map.h>

namespace tanagerlead::net
{

/// Accepts connections at one address and keeps them.
class http_listener final : public connection_owner
{
public:
    using handler = std::function<void(
        std::shared_ptr<caller_connection> const&, http_request)>;
    using bad_request_handler =
        std::function<http_response(base::address const&, int status)>;

    http_listener(asio::io_context& loop, std::size_t max_connections,
                  handler on_request);

    /// Port 0 lets the system choose.
    base::result<void> listen(base::address const& at);
    base::address local_address() const;
    void set_limits(connection_limits limits) { limits_ = limits; }
    /// Without one the answer has a status and no body.
    void set_bad_request_handler(bad_request_handler answer)
    {
        bad_request_handler_ = std::move(answer);
    }

    /// No further connections.
    void stop_accepting();
    /// Each further answer closes its connection.
    void close_after_answers();
    /// Ends the connections on which nothing is under way.
    void close_idle();
    /// Ends all connections at once, answered or not.
    void abort_all();
    /// Whether no request is under way and nothing waits to be sent.
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
