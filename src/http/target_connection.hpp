#pragma once

#include "src/base/address.hpp"
#include "src/base/ids.hpp"
#include "src/base/units.hpp"
#include "src/net/http_message.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace boost::asio
{
class io_context;
}

namespace tanagerlead::http
{

/// One HTTP request as a target gets it.
struct target_call
{
    std::string method_;
    /// Path with query.
    std::string path_;
    net::header_list headers_;
    std::string content_type_;
    std::string body_;
};

/// Start of a target's answer.
struct target_head
{
    int status_ = 0;
    std::string content_type_;
    net::header_list headers_;
};

enum class exchange_end
{
    /// No connection; nothing was sent.
    not_sent,
    /// The whole answer has been read.
    complete,
    /// The connection broke, or was silent for too long.
    cut,
    /// The listener, or `stop`, ended it.
    stopped,
};

/// Receives one answer, on the loop.
class target_listener
{
public:
    virtual ~target_listener() = default;
    /// The connection is open; the next byte may reach the target. False ends
    /// the exchange.
    virtual bool on_connected() = 0;
    /// False ends the exchange.
    virtual bool on_head(target_head const& head) = 0;
    /// False ends the exchange.
    virtual bool on_bytes(std::string_view bytes) = 0;
    /// The last call, never made inside another one.
    virtual void on_end(exchange_end end) = 0;
};

struct connection_limits
{
    base::duration connect_ = std::chrono::milliseconds{500};
    /// Longest time without a byte.
    base::duration silence_ = std::chrono::seconds{10};
};

/// How long targets are waited for, and how much is taken from them.
struct target_limits
{
    base::duration connect_ = std::chrono::milliseconds{500};
    /// A stream without a byte for so long is taken for cut and resumed.
    base::duration stream_silence_ = std::chrono::seconds{10};
    /// A plain answer that does not come within this time is given up.
    base::duration answer_silence_ = std::chrono::seconds{120};
    /// Resumptions in a row that bring no event.
    int most_resumes_ = 5;
    /// Before the second such resumption; doubles with each further one.
    base::duration resume_pause_ = std::chrono::milliseconds{200};
    std::size_t most_event_bytes_ = std::size_t{1} << 20U;
};

/// One exchange that is under way. Destroying it drops its listener.
class target_exchange
{
public:
    virtual ~target_exchange() = default;
    /// Ends the exchange soon: as `not_sent` before it is connected, else as
    /// `stopped`.
    virtual void stop() = 0;
};

/// How targets are reached. On the loop.
class target_connection
{
public:
    virtual ~target_connection() = default;

    /// One exchange on a connection of its own, which is closed after it: a
    /// connection with an unfinished answer is never used again. `listener`
    /// outlives the result.
    virtual std::unique_ptr<target_exchange>
    begin(base::address const& target, target_call const& call,
          connection_limits const& limits, target_listener& listener) = 0;
};

/// HTTP/1.1 over TCP.
class http_target_connection final : public target_connection
{
public:
    explicit http_target_connection(boost::asio::io_context& loop) : loop_{loop}
    {
    }

    std::unique_ptr<target_exchange> begin(base::address const& target,
                                           target_call const& call,
                                           connection_limits const& limits,
                                           target_listener& listener) override;

private:
    boost::asio::io_context& loop_;
};

} // namespace tanagerlead::http
