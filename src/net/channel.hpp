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

/// What an answer's head is to be taken for.
enum class head_verdict : std::uint8_t
{
    accept,
    /// The answer to an earlier request on this channel; read and dropped.
    skip,
    /// Nothing that belongs here; ends the exchange.
    refuse,
};

/// Receives the answer of one exchange. After `on_complete` or `on_broken`
/// nothing more is called.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    virtual head_verdict on_head(http_response const& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_complete() = 0;
    /// The answer ended early or was no proper answer. `detail` for logs.
    virtual void on_broken(std::string const& detail) = 0;
};

/// One connection to a target or another server. One exchange at a time; bytes
/// that come between exchanges belong to none and end the connection.
class channel final : public std::enable_shared_from_this<channel>
{
public:
    channel(asio::io_context& loop, base::address peer);

    using connected = std::function<void(error_code const&)>;
    /// Once, before anything else.
    void connect(base::duration timeout, connected done);

    /// Sends a request. `sink` outlives the exchange, or `close` is called.
    void exchange(http_request const& request, answer_sink& sink);
    /// Stops reading while the receiver is clogged.
    void pause(bool paused);
    /// Ends the connection at once; nothing is called back.
    void close();

    /// Open, with no exchange under way, and still within the idle time that
    /// the peer announced.
    bool is_reusable() const;
    base::time_point idle_since() const { return idle_since_; }
    base::address const& peer() const { return peer_; }

private:
    /// Of a peer that announces none.
    static constexpr base::duration usual_idle_time = std::chrono::seconds{2};

    using parser =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void on_connected(error_code const& error, connected const& done);
    void on_connect_timeout();
    void send();
    void on_sent(error_code const& error);
    void read_more();
    void on_read(error_code const& error, std::size_t count);
    void start_answer();
    void parse();
    bool feed(error_code& error);
    bool take_head();
    void end_of_input(error_code const& error);
    void complete();
    void finish_exchange(bool keeps);
    void broken(std::string const& detail);

    tcp::socket socket_;
    base::address peer_;
    alarm connect_alarm_;
    std::vector<char> arrived_;
    boost::beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    std::array<char, 8192> body_{};
    connected connected_;
    answer_sink* sink_ = nullptr;
    std::string out_;
    bool head_only_ = false;
    bool sending_ = false;
    bool reading_ = false;
    bool head_taken_ = false;
    bool skipping_ = false;
    bool paused_ = false;
    bool closed_ = false;
    bool keeps_ = false;
    base::time_point idle_since_{};
    base::duration idle_time_ = usual_idle_time;
};

} // namespace tanagerlead::net
