#pragma once

#include "src/base/ids.hpp"
#include "src/peer/header.hpp"

#include <functional>
#include <string>

namespace tanagerlead::peer
{

/// Authenticated datagrams to daemons by name. Control thread only.
class messenger
{
public:
    /// Largest payload of one message.
    static constexpr std::size_t most_payload_bytes = 1200;

    virtual ~messenger() = default;

    /// Best effort; dropped when the daemon is not known.
    virtual void send(base::daemon_id const& to, message_kind kind,
                      std::string payload) = 0;

    /// One receiver a kind. `arrived` runs on the control thread, for
    /// messages of known members only; `origin` names the sender's life.
    virtual void on_message(
        message_kind kind,
        std::function<void(base::daemon_id const& from, std::uint64_t origin,
                           std::string const& payload)>
            arrived) = 0;
};

} // namespace tanagerlead::peer
