#include "src/net/caller_connection.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <cassert>

namespace tanagerlead::net
{

namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace
{

/// Maximum bytes of one read. A typical request head fits into the first.
constexpr std::size_t head_read_bytes = 4096;
constexpr std::size_t body_read_bytes = 16384;
/// Reading pauses when this many bytes of further requests are buffered while a
/// request is being answered.
constexpr std::size_t max_pipelined_bytes = 65536;
/// After the last answer, the caller has this long to read it and to close
/// before the connection is closed.
constexpr base::duration linger_time = 500ms;

int status_for(error_code const& error)
{
    if (error == http::error::header_limit)
    {
        return 431;
    }
    if (error == http::error::body_limit)
    {
        return 413;
    }
    return 400;
}

} // namespace

caller_connection::caller_connection(tcp::socket socket,
                                     connection_owner& owner)
    : socket_{std::move(socket)}, owner_{owner},
      timer_{static_cast<asio::io_context&>(socket_.get_executor().context()),
             [this]
             {
                 on_timeout();
             }},
      limits_{owner.limits()}
{
    error_code error;
    peer_ = to_address(socket_.remote_endpoint(error));
    set_socket_options(socket_, limits_.send_timeout_);
}

void caller_connection::start()
{
    timer_.set_after(limits_.idle_time_);
    read_more();
}

void caller_connection::read_more()
{
    if (reading_ || closed_ ||
        (busy_ && unparsed_.size() >= max_pipelined_bytes))
    {
        return;
    }
    reading_ = true;
    auto const in_body = parser_ && parser_->is_header_done();
    read_buffer_.resize(in_body ? body_read_bytes : head_read_bytes);
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](error_code const& error, std::size_t count)
        { self->on_read(error, count); });
}

void caller_connection::on_read(error_code const& error, std::size_t count)
{
    reading_ = false;
    if (closed_)
    {
        return;
    }
    if (error)
    {
        on_peer_closed();
        return;
    }
    if (lingering_)
    {
        read_more();
        return;
    }
    unparsed_.commit(asio::buffer_copy(
        unparsed_.prepare(count), asio::buffer(read_buffer_.data(), count)));
    if (!busy_)
    {
        parse();
    }
    read_more();
}

void caller_connection::on_peer_closed()
{
    auto const handler = std::move(on_disconnect_);
    close();
    if (handler)
    {
        handler();
    }
}

void caller_connection::parse()
{
    if (unparsed_.size() == 0)
    {
        return;
    }
    if (!parser_)
    {
        limits_ = owner_.limits();
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(static_cast<std::uint32_t>(limits_.head_bytes_));
        parser_->body_limit(limits_.body_bytes_);
        continue_sent_ = false;
        timer_.set_after(limits_.head_time_);
    }
    while (unparsed_.size() > 0 && !parser_->is_done())
    {
        auto const had_head = parser_->is_header_done();
        error_code error;
        auto const used = parser_->put(unparsed_.data(), error);
        unparsed_.consume(used);
        auto const needs_input = error == http::error::need_more || used == 0;
        if (error && error != http::error::need_more)
        {
            reject(status_for(error));
            return;
        }
        if (!had_head && parser_->is_header_done())
        {
            if (!has_valid_framing())
            {
                reject(400);
                return;
            }
            timer_.set_after(limits_.head_time_);
            send_continue();
        }
        if (needs_input)
        {
            break;
        }
    }
    // The parser keeps a part that it cannot read before its end, such as a
    // line before a chunk.
    if (!parser_->is_done() &&
        unparsed_.size() > limits_.head_bytes_ + body_read_bytes)
    {
        reject(status_for(http::error::header_limit));
        return;
    }
    if (parser_->is_done())
    {
        dispatch_request();
    }
}

// Guards against request smuggling. Beast already rejects Content-Length
// together with chunked coding. It accepts a second Host, a second
// Content-Length and other transfer codings, which a proxy and a server could
// interpret differently.
bool caller_connection::has_valid_framing() const
{
    auto const& head = parser_->get();
    auto const coding = head.find(http::field::transfer_encoding);
    auto const valid_coding =
        coding == head.end() ||
        (boost::beast::iequals(coding->value(), "chunked") &&
         head.count(http::field::transfer_encoding) == 1);
    return valid_coding && head.count(http::field::host) == 1 &&
           head.count(http::field::content_length) <= 1 && head.version() == 11;
}

void caller_connection::send_continue()
{
    auto const& head = parser_->get();
    auto const expects = head.find(http::field::expect);
    if (!parser_->is_done() && !continue_sent_ && expects != head.end())
    {
        continue_sent_ = true;
        out_ += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
}

void caller_connection::dispatch_request()
{
    auto message = parser_->release();
    parser_.reset();
    http_request request;
    request.method_ = std::string{message.method_string()};
    request.target_ = std::string{message.target()};
    for (auto const& field : message)
    {
        request.headers_.add(std::string{field.name_string()},
                             std::string{field.value()});
    }
    request.body_ = std::move(message.body());
    close_after_answer_ = !message.keep_alive();
    is_head_request_ = message.method() == http::verb::head;
    busy_ = true;
    timer_.clear();
    owner_.on_request(shared_from_this(), std::move(request));
}

void caller_connection::reject(int status)
{
    busy_ = true;
    close_after_answer_ = true;
    is_head_request_ = false;
    parser_.reset();
    answer(owner_.on_bad_request(peer_, status));
}

void caller_connection::answer(http_response const& response)
{
    if (closed_)
    {
        return;
    }
    assert(busy_);
    auto text = to_text(response, !close_after_answer_ && !shutting_down_);
    if (is_head_request_)
    {
        text.resize(text.size() - response.body_.size());
    }
    out_ += text;
    finish_answer();
}

void caller_connection::begin_answer(http_response const& head)
{
    if (closed_)
    {
        return;
    }
    assert(busy_);
    out_ += to_chunked_head(head, !close_after_answer_ && !shutting_down_);
    close_after_answer_ = close_after_answer_ || shutting_down_;
    flush();
}

void caller_connection::send_chunk(std::string_view bytes)
{
    if (closed_ || is_head_request_ || bytes.empty())
    {
        return;
    }
    out_ += to_chunk(bytes);
    flush();
}

void caller_connection::end_answer()
{
    if (closed_)
    {
        return;
    }
    if (!is_head_request_)
    {
        out_ += last_chunk;
    }
    finish_answer();
}

void caller_connection::finish_answer()
{
    on_disconnect_ = nullptr;
    on_drained_ = nullptr;
    busy_ = false;
    close_after_answer_ = close_after_answer_ || shutting_down_;
    flush();
    if (close_after_answer_)
    {
        return;
    }
    timer_.set_after(owner_.limits().idle_time_);
    // The next request may be buffered already, and the owner may answer it
    // synchronously. Parsing it from the event loop avoids recursion.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   if (!self->closed_ && !self->busy_)
                   {
                       self->parse();
                       self->read_more();
                   }
               });
}

void caller_connection::flush()
{
    if (!writing_.empty() || closed_)
    {
        return;
    }
    if (out_.empty())
    {
        if (close_after_answer_ && !busy_)
        {
            linger();
        }
        return;
    }
    writing_.swap(out_);
    asio::async_write(
        socket_, asio::buffer(writing_),
        [self = shared_from_this()](error_code const& error, std::size_t)
        { self->on_written(error); });
}

void caller_connection::on_written(error_code const& error)
{
    writing_.clear();
    if (closed_)
    {
        return;
    }
    if (error)
    {
        on_peer_closed();
        return;
    }
    auto const handler = !is_send_buffer_full() ? on_drained_ : nullptr;
    flush();
    if (handler)
    {
        handler();
    }
}

// Closing a socket that has unread input resets the connection, and the reset
// can discard the answer before the caller reads it. So only the sending side
// is shut down, and input is read and dropped until the caller closes
// or `linger_time` has passed.
void caller_connection::linger()
{
    if (lingering_)
    {
        return;
    }
    lingering_ = true;
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    timer_.set_after(linger_time);
    unparsed_.consume(unparsed_.size());
    read_more();
}

void caller_connection::on_timeout()
{
    if (closed_ || busy_)
    {
        return;
    }
    if (parser_ && !lingering_)
    {
        reject(408);
        return;
    }
    close();
}

void caller_connection::close_if_idle()
{
    if (closed_ || busy_ || parser_ || unparsed_.size() > 0 || lingering_)
    {
        return;
    }
    close_after_answer_ = true;
    flush();
}

void caller_connection::abort()
{
    on_disconnect_ = nullptr;
    on_drained_ = nullptr;
    close();
}

void caller_connection::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    on_drained_ = nullptr;
    timer_.clear();
    error_code error;
    socket_.close(error);
    owner_.on_closed(*this);
}

} // namespace tanagerlead::net
