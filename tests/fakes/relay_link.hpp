#pragma once

#include "src/base/units.hpp"
#include "src/peer/socket.hpp"

#include <deque>
#include <optional>
#include <string>

namespace tanagerlead::fakes
{

/// Bytes, or whole datagrams, on their way in one direction.
class relay_queue
{
public:
    void add(std::string bytes, base::time_point due);
    /// Something may be sent now.
    bool due(base::time_point now) const;
    /// When the first is due; the maximum when empty.
    base::time_point next() const;
    bool empty() const { return waiting_.empty(); }
    /// Sends what is due over TCP; false when the connection is broken.
    bool send_to(int descriptor, base::time_point now);
    /// The first, when it is due.
    std::optional<std::string> take(base::time_point now);

private:
    struct chunk
    {
        std::string bytes_;
        base::time_point due_;
    };

    std::deque<chunk> waiting_;
};

/// One end of a relayed connection.
struct relay_end
{
    peer::socket socket_;
    /// What is to be sent to this end.
    relay_queue outgoing_;
    /// What arrives from this end is dropped.
    bool dropped_ = false;
    /// This end has closed, and will send no more.
    bool finished_ = false;
};

/// A TCP connection, or the datagrams of one sender.
struct relay_link
{
    relay_end near_;
    relay_end far_;
    /// Sender of the datagrams; unused for TCP.
    sockaddr_in sender_{};
    bool broken_ = false;
};

} // namespace tanagerlead::fakes
