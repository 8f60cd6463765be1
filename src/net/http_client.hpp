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
    base::duration whole_;
    /// Connects within a region take milliseconds.
    base::duration connect_ = std::chrono::milliseconds{700};
};

/// Calls with small answers over kept connections.
class http_client
{
public:
    explicit http_client(asio::io_context& loop) : loop_{loop} {}
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    using answered = std::function<void(base::result<http_response>)>;
    /// Errors: `not_sent`, or `unknown_effect` once it was sent. `step` names
    /// the call in them.
    void call(base::address const& peer, std::string step, http_request request,
              call_limits const& limits, answered done);

private:
    class pending;

    std::shared_ptr<channel> take_idle(base::address const& peer);

    asio::io_context& loop_;
    std::map<base::address, std::vector<std::shared_ptr<channel>>> idle_;
    std::map<pending*, std::shared_ptr<pending>> calls_;
};

} // namespace tanagerlead::net
