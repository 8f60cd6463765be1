#pragma once

#include "src/http/call.hpp"
#include "src/request/dispatcher.hpp"
#include "src/request/request_record.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace tanagerlead::http
{

/// Keeps a record's count of readers while a caller is served, and calls
/// `left` after that.
class reading
{
public:
    using listener = std::function<void(request::record_ptr const&)>;

    reading(request::record_ptr record, listener left);
    reading(reading const&) = delete;
    reading& operator=(reading const&) = delete;
    ~reading();

    request::request_record& record() const { return *record_; }

private:
    request::record_ptr const record_;
    listener const left_;
};

/// Delivers one request's answer to one caller as it comes, at the caller's
/// speed. On the server's loop.
class answer_delivery final
    : public std::enable_shared_from_this<answer_delivery>
{
public:
    /// Addresses that a refusal lists.
    using entry_list = std::function<std::vector<request::entry_address>(
        request::request_identity const&)>;

    /// From the event after `last_event`. The connection keeps the delivery
    /// until its end or until the caller has left.
    static void begin(boost::asio::io_context& loop,
                      http_reply::connection_ptr const& to,
                      std::shared_ptr<reading> reader, std::uint64_t last_event,
                      entry_list entries);

    answer_delivery(boost::asio::io_context& loop,
                    http_reply::connection_ptr const& to,
                    std::shared_ptr<reading> reader, std::uint64_t last_event,
                    entry_list entries);
    ~answer_delivery();
    answer_delivery(answer_delivery const&) = delete;
    answer_delivery& operator=(answer_delivery const&) = delete;

private:
    void listen();
    void wake();
    void advance();
    void begin_stream();
    void send_events();
    void send_whole(request::answer_end const& end);

    request::answer_buffer& answer() const
    {
        return reader_->record().answer();
    }

    boost::asio::io_context& loop_;
    /// Owns this object, so it is not owned in return.
    std::weak_ptr<net::caller_connection> to_;
    std::shared_ptr<reading> reader_;
    std::uint64_t last_event_;
    entry_list entries_;
    std::uint64_t subscription_ = 0;
    /// A look at the answer is due on the loop.
    std::shared_ptr<std::atomic<bool>> awake_;
    bool streaming_ = false;
};

} // namespace tanagerlead::http
