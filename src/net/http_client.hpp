#pragma once

#include "src/base/error.hpp"
#include "src/net/channel.hpp"

#include <map>
#include <vector>

namespace tanagerlead::net
{

struct call_limits
{
    /// Until the whole answer is there.
    base::duration total_timeout_;
    /// Connects within a region take milliseconds.
    base::duration connect_timeout_ = std::chrono::milliseconds{700};
};

/// Calls with small answers over kept connections.
class http_client
{
public:
    explicit http_client(asio::io_context& loop) : loop_{loop} {}
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    using response_callback = std::function<void(base::result<http_response>)>;
    /// Errors: `not_sent`, or `unknown_effect` once it was sent. `step` names
    /// the call in them.
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
