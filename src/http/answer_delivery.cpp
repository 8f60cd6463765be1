#include "src/http/answer_delivery.hpp"

#include "src/http/answer_writer.hpp"
#include "src/net/caller_connection.hpp"

#include <boost/asio/post.hpp>

namespace tanagerlead::http
{

reading::reading(request::record_ptr record, listener left)
    : record_{std::move(record)}, left_{std::move(left)}
{
    record_->attach();
}

reading::~reading()
{
    record_->detach();
    left_(record_);
}

void answer_delivery::begin(boost::asio::io_context& loop,
                            http_reply::connection_ptr const& to,
                            std::shared_ptr<reading> reader,
                            std::uint64_t last_event, entry_list entries)
{
    auto const delivery = std::make_shared<answer_delivery>(
        loop, to, std::move(reader), last_event, std::move(entries));
    // The connection drops both handlers with its answer's end, and this
    // object with them.
    to->on_disconnect([delivery] {});
    to->on_drained([delivery] { delivery->advance(); });
    delivery->listen();
    delivery->advance();
}

answer_delivery::answer_delivery(boost::asio::io_context& loop,
                                 http_reply::connection_ptr const& to,
                                 std::shared_ptr<reading> reader,
                                 std::uint64_t last_event, entry_list entries)
    : loop_{loop}, to_{to}, reader_{std::move(reader)}, last_event_{last_event},
      entries_{std::move(entries)}, awake_{
                                        std::make_shared<std::atomic<bool>>()}
{
}

answer_delivery::~answer_delivery()
{
    answer().unsubscribe(subscription_);
}

void answer_delivery::listen()
{
    subscription_ = answer().subscribe(
        [&loop = loop_, awake = awake_, self = weak_from_this()]
        {
            // One look takes all that came before it.
            if (awake->exchange(true))
            {
                return;
            }
            boost::asio::post(loop,
                              [self]
                              {
                                  if (auto const delivery = self.lock())
                                  {
                                      delivery->wake();
                                  }
                              });
        });
}

void answer_delivery::wake()
{
    *awake_ = false;
    advance();
}

void answer_delivery::advance()
{
    // The end of the answer drops the connection's hold on this object.
    auto const self = shared_from_this();
    if (!streaming_)
    {
        auto const head = answer().head();
        if (head && head->stream_)
        {
            begin_stream();
        }
        else if (auto const end = answer().end())
        {
            send_whole(*end);
            return;
        }
    }
    if (streaming_)
    {
        send_events();
    }
}

void answer_delivery::begin_stream()
{
    auto const to = to_.lock();
    if (!to)
    {
        return;
    }
    streaming_ = true;
    http_reply reply;
    write_stream_head(reader_->record(), reply);
    to->begin_answer(reply.response());
}

void answer_delivery::send_events()
{
    auto const to = to_.lock();
    while (to && !to->is_send_buffer_full())
    {
        auto const slice = answer().read_after(last_event_);
        last_event_ = slice.last_;
        to->send_chunk(slice.bytes_);
        if (slice.end_)
        {
            to->send_chunk(
                closing_events(reader_->record().identity(), *slice.end_));
            to->end_answer();
            return;
        }
        if (slice.bytes_.empty())
        {
            return;
        }
    }
}

void answer_delivery::send_whole(request::answer_end const& end)
{
    auto const to = to_.lock();
    if (!to)
    {
        return;
    }
    http_reply reply;
    auto const& record = reader_->record();
    if (end.outcome_ == request::outcome::complete)
    {
        write_content(record, reply);
    }
    else
    {
        write_end(record.identity(), end, entries_(record.identity()), reply);
    }
    to->answer(reply.response());
}

} // namespace tanagerlead::http
