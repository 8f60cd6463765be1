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
constexpr std::uint32_t most_head_bytes = 65536;
/// Data that the peer does not acknowledge for this long end the connection.
constexpr base::duration peer_patience = 2s;
/// A connection is given up this long before its peer would close it, so that
/// no request meets the close on its way.
constexpr base::duration idle_margin = 400ms;

/// Seconds of `Keep-Alive: timeout=N`.
std::optional<base::duration> announced_idle_time(header_list const& headers)
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

channel::channel(asio::io_context& loop, base::address peer)
    : socket_{loop}, peer_{std::move(peer)}, connect_alarm_{
                                                 loop, [this]
                                                 {
                                                     on_connect_timeout();
                                                 }}
{
}

void channel::connect(base::duration timeout, connected done)
{
    connected_ = std::move(done);
    connect_alarm_.set_after(timeout);
    socket_.async_connect(to_endpoint(peer_),
                          [self = shared_from_this()](error_code const& error)
                          {
                              if (self->connected_)
                              {
                                  auto const tell = std::move(self->connected_);
                                  self->connected_ = nullptr;
                                  self->on_connected(error, tell);
                              }
                          });
}

void channel::on_connected(error_code const& error, connected const& done)
{
    connect_alarm_.clear();
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
    set_options(socket_, peer_patience);
    idle_since_ = now();
    keeps_ = true;
    read_more();
    done({});
}

void channel::on_connect_timeout()
{
    if (!connected_)
    {
        return;
    }
    auto const self = shared_from_this();
    auto const tell = std::move(connected_);
    connected_ = nullptr;
    close();
    tell(asio::error::timed_out);
}

bool channel::is_reusable() const
{
    return !closed_ && sink_ == nullptr && !sending_ && keeps_ &&
           now() < idle_since_ + idle_time_ - idle_margin;
}

void channel::exchange(http_request const& request, answer_sink& sink)
{
    assert(sink_ == nullptr && !closed_ && !sending_);
    sink_ = &sink;
    head_only_ = request.method_ == "HEAD";
    out_ = to_text(request);
    paused_ = false;
    start_answer();
    send();
    read_more();
}

void channel::start_answer()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(most_head_bytes);
    parser_->body_limit(boost::none);
    parser_->skip(head_only_);
    head_taken_ = false;
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
    // A write fails when the peer is gone. What it had sent before, an early
    // answer for example, is still read.
    if (error && !closed_ && sink_ == nullptr)
    {
        close();
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
    if (reading_ || closed_ || paused_)
    {
        return;
    }
    reading_ = true;
    arrived_.resize(read_bytes);
    socket_.async_read_some(
        asio::buffer(arrived_),
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
        end_of_input(error);
        return;
    }
    buffer_.commit(asio::buffer_copy(buffer_.prepare(count),
                                     asio::buffer(arrived_.data(), count)));
    parse();
    read_more();
}

void channel::end_of_input(error_code const& error)
{
    if (error == asio::error::eof && parser_ && head_taken_ &&
        parser_->need_eof() && !skipping_)
    {
        keeps_ = false;
        complete();
        return;
    }
    broken(error.message());
}

void channel::parse()
{
    auto const self = shared_from_this();
    while (sink_ != nullptr && buffer_.size() > 0)
    {
        error_code error;
        auto const went_on = feed(error);
        if (closed_ || sink_ == nullptr)
        {
            return;
        }
        if (error)
        {
            broken("malformed answer: " + error.message());
            return;
        }
        if (parser_->is_done())
        {
            if (!skipping_)
            {
                complete();
                return;
            }
            start_answer();
        }
        else if (!went_on)
        {
            return;
        }
    }
}

// Returns whether more can be parsed without further input.
bool channel::feed(error_code& error)
{
    auto& body = parser_->get().body();
    body.data = body_.data();
    body.size = body_.size();
    body.more = true;
    auto const used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    auto const starved = error == http::error::need_more;
    if (starved || error == http::error::need_buffer)
    {
        error = {};
    }
    if (error)
    {
        return false;
    }
    if (!head_taken_ && parser_->is_header_done() && !take_head())
    {
        return false;
    }
    auto const got = body_.size() - parser_->get().body().size;
    if (head_taken_ && !skipping_ && got > 0)
    {
        sink_->on_body({body_.data(), got});
    }
    return !starved && used > 0;
}

bool channel::take_head()
{
    auto const& message = parser_->get();
    if (message.result_int() / 100 == 1)
    {
        // An interim answer; the real one follows.
        skipping_ = true;
        head_taken_ = true;
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
    head_taken_ = true;
    if (message.count(http::field::content_length) > 1 ||
        message.count(http::field::transfer_encoding) > 1)
    {
        broken("answer with two framings");
        return false;
    }
    switch (sink_->on_head(head))
    {
    case head_verdict::refuse:
        broken("answer refused");
        return false;
    case head_verdict::skip:
        // Without a length the next answer's begin is not known.
        if (parser_->need_eof())
        {
            broken("foreign answer without length");
            return false;
        }
        skipping_ = true;
        return true;
    case head_verdict::accept:
        break;
    }
    keeps_ = parser_->keep_alive();
    idle_time_ = announced_idle_time(head.headers_).value_or(usual_idle_time);
    return true;
}

void channel::complete()
{
    auto* const sink = sink_;
    // Bytes after the end belong to no request.
    finish_exchange(keeps_ && buffer_.size() == 0 && !sending_);
    sink->on_complete();
}

void channel::finish_exchange(bool keeps)
{
    sink_ = nullptr;
    parser_.reset();
    keeps_ = keeps;
    idle_since_ = now();
    if (!keeps)
    {
        close();
    }
}

void channel::broken(std::string const& detail)
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
    connected_ = nullptr;
    connect_alarm_.clear();
    error_code error;
    socket_.close(error);
}

} // namespace tanagerlead::net
