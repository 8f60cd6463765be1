#pragma once

#include "src/base/error.hpp"
#include "src/net/channel.hpp"

#include <map>
#include <vector>

namespace tanagerlead::net
{

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
              base::duration timeout, answered done);

private:
    class pending;

    std::shared_ptr<channel> take_idle(base::address const& peer);

    asio::io_context& loop_;
    std::map<base::address, std::vector<std::shared_ptr<channel>>> idle_;
    std::map<pending*, std::shared_ptr<pending>> calls_;
};

} // namespace tanagerlead::net
