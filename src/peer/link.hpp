#pragma once

#include "src/base/address.hpp"
#include "src/base/error.hpp"

#include <functional>
#include <string>

/// Messages between daemons and the links that carry them.
namespace tanagerlead::peer
{

/// Datagrams between daemons: may be lost, late, doubled or reordered.
class datagram_link
{
public:
    virtual ~datagram_link() = default;

    /// Never blocks; a datagram that cannot be sent is counted and dropped.
    virtual void send(base::address const& to, std::string bytes) = 0;
    /// `arrived` runs on the receiving thread.
    virtual void on_receive(
        std::function<void(base::address const& from, std::string const& bytes)>
            arrived) = 0;
    virtual base::address local_address() const = 0;
};

/// Request and answer over TCP, for what does not fit a datagram. Blocking;
/// any thread.
class stream_link
{
public:
    virtual ~stream_link() = default;

    virtual base::result<std::string> call(base::address const& to,
                                           std::string const& bytes) = 0;
    /// `answer` runs on a thread of the link.
    virtual void
    on_call(std::function<std::string(std::string const& bytes)> answer) = 0;
};

} // namespace tanagerlead::peer
