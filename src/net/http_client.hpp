#pragma once

#include "src/base/error.hpp"
#include "src/net/channel.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace tanagerlead::net
{

/// Least rate at which the body of an answer must arrive.
struct progress_limits
{
    base::duration window_{};
    /// Bytes that must arrive in each window.
    std::size_t least_bytes_ = 0;
};

/// Timeouts of one call.
struct call_limits
{
    /// From the start of the call until the complete answer, or until the head
    /// of the answer if `progress_` is set.
    base::duration total_timeout_;
    /// Connecting within a region takes milliseconds.
    base::duration connect_timeout_ = std::chrono::milliseconds{700};
    /// Limits the time of the body instead of `total_timeout_`, so that a large
    /// answer may take as long as its link needs.
    std::optional<progress_limits> progress_{};
    /// Called when a part of the body has arrived.
    std::function<void()> on_progress_{};
};

/// HTTP client for small answers, which are buffered whole. Reuses idle
/// connections. Its destructor drops unfinished calls without calling back.
class http_client
{
public:
    explicit http_client(asio::io_context& loop) : loop_{loop} {}
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    using response_callback = std::function<void(base::result<http_response>)>;
    /// Sends `request` and passes the answer or the error to `done` from the
    /// event loop.
    /// Errors: `not_sent` if the request was not sent, else `unknown_effect`.
    /// `step` names the call in errors.
    void call(base::address const& peer, std::string step, http_request request,
              call_limits const& limits, response_callback done);

private:
    class pending_call;

    std::shared_ptr<channel> take_idle_channel(base::address const& peer);

    asio::io_context& loop_;
    std::map<base::address, std::vector<std::shared_ptr<channel>>>
        idle_channels_;
    std::map<pending_call*, std::shared_ptr<pending_call>> calls_;
};

} // namespace tanagerlead::net
