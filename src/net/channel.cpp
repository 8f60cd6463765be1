#include "src/net/channel.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <cassert>
#include <charconv>

namespace tanagerlead::net
{

namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t read_bytes = 8192;
constexpr std::uint32_t max_head_bytes = 65536;
/// The parser keeps a part that it cannot read before its end, such as a line
/// before a chunk.
constexpr std::size_t max_unparsed_bytes = max_head_bytes + read_bytes;
/// Interim answers and late answers to earlier requests that are passed over in
/// one exchange.
constexpr std::size_t max_skipped_bytes = 1 << 20;
/// The connection fails when sent data stay unacknowledged for this long.
constexpr base::duration peer_send_timeout = 2s;
/// A connection is no longer reused this long before the peer would close it,
/// so that no request is sent while the close is on its way.
constexpr base::duration idle_margin = 400ms;

/// Why the head is none of an HTTP answer that this side can read; null if it
/// is one. Beast's parser takes any three digits as a status, decodes `chunked`
/// only, and passes over other codings.
char const* find_flaw(http::response_header<> const& head)
{
    auto const status = head.result_int();
    if (status < 100 || status > 599)
    {
        return "malformed answer: unknown status";
    }
    auto const codings = head.count(http::field::transfer_encoding);
    if (head.count(http::field::content_length) + codings > 1)
    {
        return "answer with two framings";
    }
    if (codings > 0 &&
        !boost::beast::iequals(head[http::field::transfer_encoding], "chunked"))
    {
        return "answer with an unknown coding";
    }
    return nullptr;
}

/// Value of `Keep-Alive: timeout=N`, where N is in seconds; none if the field
/// is absent or malformed.
std::optional<base::duration> keep_alive_timeout(header_list const& headers)
{
    auto const* const value = headers.find("Keep-Alive");
    if (value == nullptr)
    {
        return std::nullopt;
    }
    constexpr std::string_view name = "timeout=";
    auto const at = value->find(name);
    if (at == std::string::npos)
    {
        return std::nullopt;
    }
    int seconds = 0;
    auto const* const begin = value->data() + at + name.size();
    auto const [end, error] =
        std::from_chars(begin, value->data() + value->size(), seconds);
    if (error != std::errc{} || end == begin)
    {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
}

} // namespace

char const* to_string(answer_end end)
{
    return end == answer_end::close ? "close" : "framing";
}

channel::channel(asio::io_context& loop, base::address peer)
    : socket_{loop}, peer_{std::move(peer)}, connect_timer_{
                                                 loop, [this]
                                                 {
                                                     on_connect_timeout();
                                                 }}
{
}

void channel::connect(base::duration timeout, connect_handler done)
{
    on_connect_ = std::move(done);
    connect_timer_.set_after(timeout);
    socket_.async_connect(to_endpoint(peer_),
                          [self = shared_from_this()](error_code const& error)
                          {
                              if (self->on_connect_)
                              {
                                  auto const handler =
                                      std::move(self->on_connect_);
                                  self->on_connect_ = nullptr;
                                  self->on_connected(error, handler);
                              }
                          });
}

void channel::on_connected(error_code const& error, connect_handler const& done)
{
    connect_timer_.clear();
    if (closed_)
    {
        return;
    }
    if (error)
    {
        close();
        done(error);
        return;
    }
    set_socket_options(socket_, peer_send_timeout);
    connected_at_ = now();
    idle_since_ = connected_at_;
    keep_alive_ = true;
    read_more();
    done({});
}

void channel::on_connect_timeout()
{
    if (!on_connect_)
    {
        return;
    }
    auto const self = shared_from_this();
    auto const handler = std::move(on_connect_);
    on_connect_ = nullptr;
    close();
    handler(asio::error::timed_out);
}

bool channel::is_reusable() const
{
    return !closed_ && sink_ == nullptr && !sending_ && keep_alive_ &&
           now() < idle_since_ + idle_time_ - idle_margin;
}

void channel::exchange(http_request const& request, answer_sink& sink)
{
    assert(sink_ == nullptr && !closed_ && !sending_);
    sink_ = &sink;
    is_head_request_ = request.method_ == "HEAD";
    out_ = to_text(request);
    paused_ = false;
    is_cut_ = false;
    has_ended_ = false;
    skipped_bytes_ = 0;
    reset_parser();
    send();
    read_more();
}

void channel::reset_parser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(max_head_bytes);
    parser_->body_limit(boost::none);
    parser_->skip(is_head_request_);
    head_handled_ = false;
    skipping_ = false;
}

void channel::send()
{
    sending_ = true;
    asio::async_write(
        socket_, asio::buffer(out_),
        [self = shared_from_this()](error_code const& error, std::size_t)
        { self->on_sent(error); });
}

void channel::on_sent(error_code const& error)
{
    sending_ = false;
    out_.clear();
    out_.shrink_to_fit();
    if (closed_)
    {
        return;
    }
    // A write fails when the peer has closed. What the peer sent before that,
    // for example an early answer, is still read during the exchange. The error
    // is reported once, so the read after it sees an orderly end.
    is_cut_ = static_cast<bool>(error);
    if (is_cut_ && sink_ == nullptr)
    {
        close();
    }
    else if (has_ended_)
    {
        end_unframed();
    }
}

void channel::pause(bool paused)
{
    paused_ = paused;
    if (!paused && !closed_)
    {
        read_more();
    }
}

void channel::read_more()
{
    if (reading_ || closed_ || paused_ || has_ended_)
    {
        return;
    }
    reading_ = true;
    read_buffer_.resize(read_bytes);
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](error_code const& error, std::size_t count)
        { self->on_read(error, count); });
}

void channel::on_read(error_code const& error, std::size_t count)
{
    reading_ = false;
    if (closed_)
    {
        return;
    }
    if (sink_ == nullptr)
    {
        close();
        return;
    }
    if (error)
    {
        on_read_error(error);
        return;
    }
    unparsed_.commit(asio::buffer_copy(
        unparsed_.prepare(count), asio::buffer(read_buffer_.data(), count)));
    parse();
    read_more();
}

void channel::on_read_error(error_code const& error)
{
    if (error == asio::error::eof && parser_ && head_handled_ &&
        parser_->need_eof() && !skipping_)
    {
        has_ended_ = true;
        // Whether the end is orderly shows when the peer has taken the request
        // or refused to.
        if (!sending_)
        {
            end_unframed();
        }
        return;
    }
    fail_exchange(error.message());
}

void channel::end_unframed()
{
    if (is_cut_)
    {
        fail_exchange("connection reset while the request was sent");
        return;
    }
    keep_alive_ = false;
    complete(answer_end::close);
}

void channel::parse()
{
    auto const self = shared_from_this();
    while (sink_ != nullptr && unparsed_.size() > 0)
    {
        error_code error;
        auto const can_continue = parse_some(error);
        if (closed_ || sink_ == nullptr)
        {
            return;
        }
        if (error)
        {
            fail_exchange("malformed answer: " + error.message());
            return;
        }
        if (auto const* const excess = find_excess())
        {
            fail_exchange(excess);
            return;
        }
        if (parser_->is_done())
        {
            if (!skipping_)
            {
                complete(answer_end::framing);
                return;
            }
            reset_parser();
        }
        else if (!can_continue)
        {
            return;
        }
    }
}

char const* channel::find_excess() const
{
    if (skipped_bytes_ > max_skipped_bytes)
    {
        return "too many bytes of other answers";
    }
    return unparsed_.size() > max_unparsed_bytes ? "part of an answer too long"
                                                 : nullptr;
}

// Parses part of the buffered input. Returns whether parsing can continue
// without reading more input.
bool channel::parse_some(error_code& error)
{
    auto& body = parser_->get().body();
    body.data = body_buffer_.data();
    body.size = body_buffer_.size();
    body.more = true;
    auto const used = parser_->put(unparsed_.data(), error);
    unparsed_.consume(used);
    auto const needs_input = error == http::error::need_more;
    if (needs_input || error == http::error::need_buffer)
    {
        error = {};
    }
    if (error)
    {
        return false;
    }
    if (!head_handled_ && parser_->is_header_done() && !handle_head())
    {
        return false;
    }
    if (!head_handled_ || skipping_)
    {
        skipped_bytes_ += used;
    }
    auto const got = body_buffer_.size() - parser_->get().body().size;
    if (head_handled_ && !skipping_ && got > 0)
    {
        sink_->on_body({body_buffer_.data(), got});
    }
    return !needs_input && used > 0;
}

bool channel::handle_head()
{
    auto const& message = parser_->get();
    if (auto const* const flaw = find_flaw(message))
    {
        fail_exchange(flaw);
        return false;
    }
    if (message.result_int() / 100 == 1)
    {
        // An interim answer (1xx); the final one follows.
        skipping_ = true;
        head_handled_ = true;
        return true;
    }
    http_response head;
    head.status_ = static_cast<int>(message.result_int());
    head.reason_ = std::string{message.reason()};
    for (auto const& field : message)
    {
        head.headers_.add(std::string{field.name_string()},
                          std::string{field.value()});
    }
    head_handled_ = true;
    switch (sink_->on_head(head))
    {
    case head_action::refuse:
        fail_exchange("answer refused");
        return false;
    case head_action::skip:
        // Without a length, the start of the next answer cannot be found.
        if (parser_->need_eof())
        {
            fail_exchange("foreign answer without length");
            return false;
        }
        skipping_ = true;
        return true;
    case head_action::accept:
        break;
    }
    keep_alive_ = parser_->keep_alive();
    idle_time_ = keep_alive_timeout(head.headers_).value_or(default_idle_time);
    return true;
}

void channel::complete(answer_end end)
{
    auto* const sink = sink_;
    // Bytes after the end of the answer belong to no request, so the connection
    // is not reused.
    finish_exchange(keep_alive_ && unparsed_.size() == 0 && !sending_);
    sink->on_complete(end);
}

void channel::finish_exchange(bool keep_alive)
{
    sink_ = nullptr;
    parser_.reset();
    keep_alive_ = keep_alive;
    idle_since_ = now();
    if (!keep_alive)
    {
        close();
    }
}

void channel::fail_exchange(std::string const& detail)
{
    auto* const sink = sink_;
    sink_ = nullptr;
    close();
    if (sink != nullptr)
    {
        sink->on_broken(detail);
    }
}

void channel::close()
{
    sink_ = nullptr;
    closed_ = true;
    on_connect_ = nullptr;
    connect_timer_.clear();
    error_code error;
    socket_.close(error);
}

} // namespace tanagerlead::net
