#pragma once

#include "src/net/event_loop.hpp"
#include "src/net/http_message.hpp"
#include "src/net/socket_options.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>

namespace tanagerlead::net
{

/// What to do with an answer, decided by its head.
enum class head_action : std::uint8_t
{
    /// The answer belongs to the current request; its body goes to the sink.
    accept,
    /// The answer belongs to an earlier request on this channel. It is read and
    /// dropped, and the next answer is awaited.
    skip,
    /// The answer is unusable. The exchange fails and the channel closes.
    refuse,
};

/// What marked the end of an answer.
enum class answer_end : std::uint8_t
{
    /// Its length, its last chunk, or that it has no body.
    framing,
    /// The peer closed the connection, so a part of the body may be missing.
    close,
};

char const* to_string(answer_end end);

/// Receives the answer of one exchange. No call follows `on_complete` or
/// `on_broken`.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    virtual head_action on_head(http_response const& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_complete(answer_end end) = 0;
    /// The answer ended early, was malformed or was refused. `detail` is for
    /// logs. An answer without a length is not whole if the connection was
    /// reset, or if the peer did not take the whole request.
    virtual void on_broken(std::string const& detail) = 0;
};

/// Client side of one HTTP/1.1 connection to a target or another server. It
/// runs one exchange at a time. Bytes that arrive between exchanges belong to
/// no request, so they close the connection.
class channel final : public std::enable_shared_from_this<channel>
{
public:
    channel(asio::io_context& loop, base::address peer);

    using connect_handler = std::function<void(error_code const&)>;
    /// Must be called once, before any other function. `done` gets the error,
    /// or success. It is not called after `close`.
    void connect(base::duration timeout, connect_handler done);

    /// Sends a request and passes its answer to `sink`, which must live until
    /// the exchange ends or `close` is called.
    void exchange(http_request const& request, answer_sink& sink);
    /// Stops or resumes reading, for backpressure from the receiver.
    void pause(bool paused);
    /// Closes the connection at once; no callback is called.
    void close();

    /// Whether the channel is open, runs no exchange and is still within the
    /// idle time that the peer announced.
    bool is_reusable() const;
    base::time_point idle_since() const { return idle_since_; }
    base::time_point connected_at() const { return connected_at_; }
    base::address const& peer() const { return peer_; }

private:
    /// Used when the peer announces no idle time.
    static constexpr base::duration default_idle_time = std::chrono::seconds{2};

    using parser =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void on_connected(error_code const& error, connect_handler const& done);
    void on_connect_timeout();
    void send();
    void on_sent(error_code const& error);
    void read_more();
    void on_read(error_code const& error, std::size_t count);
    void reset_parser();
    /// Why the input cannot become an answer; null if it can.
    char const* find_excess() const;
    void parse();
    bool parse_some(error_code& error);
    bool handle_head();
    void on_read_error(error_code const& error);
    /// The connection has ended, and with it an answer without a length.
    void end_unframed();
    void complete(answer_end end);
    void finish_exchange(bool keep_alive);
    void fail_exchange(std::string const& detail);

    tcp::socket socket_;
    base::address peer_;
    deadline_timer connect_timer_;
    std::vector<char> read_buffer_;
    boost::beast::flat_buffer unparsed_;
    std::optional<parser> parser_;
    std::array<char, 8192> body_buffer_{};
    connect_handler on_connect_;
    answer_sink* sink_ = nullptr;
    std::string out_;
    bool is_head_request_ = false;
    bool sending_ = false;
    /// The request could not be sent whole, since the peer has closed.
    bool is_cut_ = false;
    /// The peer sends no more.
    bool has_ended_ = false;
    bool reading_ = false;
    bool head_handled_ = false;
    bool skipping_ = false;
    /// Bytes before the body of the answer in this exchange, with interim and
    /// foreign answers.
    std::size_t skipped_bytes_ = 0;
    bool paused_ = false;
    bool closed_ = false;
    bool keep_alive_ = false;
    base::time_point connected_at_{};
    base::time_point idle_since_{};
    base::duration idle_time_ = default_idle_time;
};

} // namespace tanagerlead::net
