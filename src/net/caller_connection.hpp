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

/// Limits on one request and on the connection that it arrives on.
struct connection_limits
{
    std::size_t head_bytes_ = 16384;
    std::size_t body_bytes_ = 4194304;
    /// Time to receive a request head, and the same time again for its body.
    base::duration head_time_ = std::chrono::seconds{3};
    /// Time without a request after which the connection is closed.
    base::duration idle_time_ = std::chrono::seconds{15};
    /// The connection fails when sent data stay unacknowledged for this long.
    base::duration send_timeout_ = std::chrono::seconds{10};
};

class caller_connection;

/// Interface of a server, called by its connections.
class connection_owner
{
public:
    virtual ~connection_owner() = default;

    /// Limits that apply to the next request.
    virtual connection_limits limits() const = 0;
    /// Called with each complete request. The owner gives exactly one answer,
    /// during this call or later.
    virtual void on_request(std::shared_ptr<caller_connection> const& from,
                            http_request request) = 0;
    /// Called when the input is malformed, exceeds a limit or is not complete
    /// in time. The connection sends the returned answer and closes.
    virtual http_response on_bad_request(base::address const& from,
                                         int status) = 0;
    virtual void on_closed(caller_connection& connection) = 0;
};

/// Server side of one HTTP/1.1 connection. It handles one request at a time.
/// While a request is being answered the connection continues to read, so that
/// it notices when the caller disconnects.
class caller_connection final
    : public std::enable_shared_from_this<caller_connection>
{
public:
    /// `owner` must outlive the connection.
    caller_connection(tcp::socket socket, connection_owner& owner);

    void start();

    /// Sets the handler for a disconnect of the caller before its answer is
    /// complete.
    void on_disconnect(std::function<void()> handler)
    {
        on_disconnect_ = std::move(handler);
    }
    /// Sets the handler that runs after a write when the send buffer is not
    /// full.
    void on_drained(std::function<void()> handler)
    {
        on_drained_ = std::move(handler);
    }

    /// Sends a complete answer with its length.
    void answer(http_response const& response);
    /// Starts an answer in chunks; `send_chunk` and `end_answer` follow.
    void begin_answer(http_response const& head);
    void send_chunk(std::string_view bytes);
    void end_answer();
    /// Closes the connection at once. A chunked answer lacks its last chunk, so
    /// the caller can tell that it is incomplete. The disconnect handler is not
    /// called.
    void abort();

    bool is_send_buffer_full() const { return out_.size() > max_unsent_bytes; }
    bool is_busy() const { return busy_; }
    bool has_unsent() const { return !out_.empty() || !writing_.empty(); }
    /// Each further answer carries `Connection: close` and ends the connection.
    void close_after_answer() { shutting_down_ = true; }
    /// Closes the connection if no request is being read or answered.
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
    /// Buffer of the read in progress.
    std::vector<char> read_buffer_;
    /// Input that is not parsed yet.
    boost::beast::flat_buffer unparsed_;
    std::optional<parser> parser_;
    connection_limits limits_;
    std::function<void()> on_disconnect_;
    std::function<void()> on_drained_;
    /// Output that waits for the write in progress.
    std::string out_;
    /// Output of the write in progress; empty when there is none.
    std::string writing_;
    bool reading_ = false;
    /// A request is being answered.
    bool busy_ = false;
    /// The connection closes after the current answer.
    bool close_after_answer_ = false;
    /// The server stops: every further answer closes the connection.
    bool shutting_down_ = false;
    /// `100 Continue` was sent for the current request.
    bool continue_sent_ = false;
    /// The request is HEAD, whose answer has no body.
    bool is_head_request_ = false;
    /// The last answer was sent; the connection waits for the caller to close.
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace tanagerlead::net
