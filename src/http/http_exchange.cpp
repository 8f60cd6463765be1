#include "src/http/http_exchange.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace tanagerlead::http
{

namespace
{

net::http_request make_request(base::address const& target,
                               target_call const& call)
{
    net::http_request request;
    request.method_ = call.method_;
    request.target_ = call.path_;
    request.body_ = call.body_;
    request.headers_ = call.headers_;
    request.headers_.set("Host", target.str());
    request.headers_.set("Connection", "close");
    if (!call.content_type_.empty())
    {
        request.headers_.set("Content-Type", call.content_type_);
    }
    // The answer's bytes are passed on as they are.
    request.headers_.set("Accept-Encoding", "identity");
    return request;
}

target_head make_head(net::http_response const& head)
{
    return {head.status_, head.headers_.value("Content-Type"), head.headers_};
}

} // namespace

http_exchange::http_exchange(net::asio::io_context& loop,
                             base::address const& target,
                             target_call const& call,
                             connection_limits const& limits,
                             target_listener& listener)
    : loop_{loop}, request_{make_request(target, call)}, limits_{limits},
      listener_{&listener}, channel_{std::make_shared<net::channel>(loop,
                                                                    target)},
      silence_{loop, [this]
               {
                   finish(exchange_end::cut);
               }}
{
}

void http_exchange::start()
{
    channel_->connect(limits_.connect_,
                      [self = weak_from_this()](net::error_code const& error)
                      {
                          if (auto const exchange = self.lock())
                          {
                              exchange->on_connected(error);
                          }
                      });
}

void http_exchange::on_connected(net::error_code const& error)
{
    if (ended_)
    {
        return;
    }
    if (error)
    {
        finish(exchange_end::not_sent);
        return;
    }
    connected_ = true;
    if (!listener_->on_connected())
    {
        finish(exchange_end::stopped);
        return;
    }
    silence_.set_after(limits_.silence_);
    channel_->exchange(request_, *this);
}

void http_exchange::stop()
{
    finish(connected_ ? exchange_end::stopped : exchange_end::not_sent);
}

net::head_action http_exchange::on_head(net::http_response const& head)
{
    silence_.set_after(limits_.silence_);
    refused_ = !listener_->on_head(make_head(head));
    return refused_ ? net::head_action::refuse : net::head_action::accept;
}

void http_exchange::on_body(std::string_view bytes)
{
    silence_.set_after(limits_.silence_);
    if (!listener_->on_bytes(bytes))
    {
        finish(exchange_end::stopped);
    }
}

void http_exchange::on_complete(net::answer_end end)
{
    finish(end == net::answer_end::framing ? exchange_end::complete
                                           : exchange_end::cut);
}

void http_exchange::on_broken(std::string const& /*detail*/)
{
    finish(refused_ ? exchange_end::stopped : exchange_end::cut);
}

// Told from the loop: the listener may destroy this exchange, which may be in
// the middle of a call to it.
void http_exchange::finish(exchange_end end)
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    silence_.clear();
    channel_->close();
    net::asio::post(loop_,
                    [self = shared_from_this(), end]
                    {
                        if (auto* const listener =
                                std::exchange(self->listener_, nullptr))
                        {
                            listener->on_end(end);
                        }
                    });
}

void http_exchange::abandon()
{
    listener_ = nullptr;
    ended_ = true;
    silence_.clear();
    channel_->close();
}

} // namespace tanagerlead::http
