#pragma once

#include "src/net/event_loop.hpp"
#include "src/net/http_message.hpp"
#include "src/net/socket_options.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace tanagerlead::net
{

struct connection_limits
{
    std::size_t head_bytes_ = 16384;
    std::size_t body_bytes_ = 4194304;
    /// For a head, and again for a body.
    base::duration head_time_ = std::chrono::seconds{3};
    base::duration idle_time_ = std::chrono::seconds{15};
    /// Data that the caller does not take for this long end the connection.
    base::duration send_timeout_ = std::chrono::seconds{10};
};

class caller_connection;

/// What a server does with its connections.
class connection_owner
{
public:
    virtual ~connection_owner() = default;

    /// Limits for the next request.
    virtual connection_limits limits() const = 0;
    /// A whole request. Exactly one answer follows, now or later.
    virtual void on_request(std::shared_ptr<caller_connection> const& from,
                            http_request request) = 0;
    /// Bytes that are no request. The result is sent, and the connection
    /// closes.
    virtual http_response on_bad_request(base::address const& from,
                                         int status) = 0;
    virtual void on_closed(caller_connection& connection) = 0;
};

/// One connection of a caller. Requests come one after the other; while one is
/// being answered the connection goes on reading, to notice that the caller
/// has left.
class caller_connection final
    : public std::enable_shared_from_this<caller_connection>
{
public:
    /// `owner` outlives it.
    caller_connection(tcp::socket socket, connection_owner& owner);

    void start();

    /// Called when the caller leaves before its answer is complete.
    void on_disconnect(std::function<void()> handler)
    {
        on_disconnect_ = std::move(handler);
    }
    /// Called when the bytes that wait to be sent fall under the limit again.
    void on_drained(std::function<void()> handler)
    {
        on_drained_ = std::move(handler);
    }

    /// A whole answer.
    void answer(http_response const& response);
    void begin_answer(http_response const& head);
    void send_chunk(std::string_view bytes);
    void end_answer();
    /// Ends the connection so that the answer does not look complete.
    void abort();

    bool is_send_buffer_full() const { return out_.size() > max_unsent_bytes; }
    bool is_busy() const { return busy_; }
    bool has_unsent() const { return !out_.empty() || !writing_.empty(); }
    /// Each further answer says that the connection closes.
    void close_after_answer() { shutting_down_ = true; }
    /// Closes now when no request is being read or answered.
    void close_if_idle();
    base::address const& peer() const { return peer_; }

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    static constexpr std::size_t max_unsent_bytes = 262144;

    void read_more();
    void on_read(error_code const& error, std::size_t count);
    void on_peer_closed();
    void parse();
    bool has_valid_framing() const;
    void dispatch_request();
    void send_continue();
    void reject(int status);
    void flush();
    void on_written(error_code const& error);
    void finish_answer();
    void on_timeout();
    void linger();
    void close();

    tcp::socket socket_;
    connection_owner& owner_;
    base::address peer_;
    deadline_timer timer_;
    /// Filled by the read that is going on.
    std::vector<char> read_buffer_;
    /// Not parsed yet.
    boost::beast::flat_buffer unparsed_;
    std::optional<parser> parser_;
    connection_limits limits_;
    std::function<void()> on_disconnect_;
    std::function<void()> on_drained_;
    std::string out_;
    std::string writing_;
    bool reading_ = false;
    /// A request is being answered.
    bool busy_ = false;
    bool close_after_answer_ = false;
    bool shutting_down_ = false;
    bool continue_sent_ = false;
    /// The answer to HEAD has no body.
    bool is_head_request_ = false;
    /// The last answer was given; waits for the caller to close.
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace tanagerlead::net
