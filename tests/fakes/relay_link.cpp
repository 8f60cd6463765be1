#include "tests/fakes/relay_link.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace tanagerlead::fakes
{

void relay_queue::add(std::string bytes, base::time_point due)
{
    waiting_.push_back({std::move(bytes), due});
}

bool relay_queue::due(base::time_point now) const
{
    return !waiting_.empty() && waiting_.front().due_ <= now;
}

base::time_point relay_queue::next() const
{
    return waiting_.empty() ? base::time_point::max() : waiting_.front().due_;
}

bool relay_queue::send_to(int descriptor, base::time_point now)
{
    while (due(now))
    {
        auto& bytes = waiting_.front().bytes_;
        auto const sent = ::send(descriptor, bytes.data(), bytes.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0)
        {
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        if (static_cast<std::size_t>(sent) < bytes.size())
        {
            bytes.erase(0, static_cast<std::size_t>(sent));
            return true;
        }
        waiting_.pop_front();
    }
    return true;
}

std::optional<std::string> relay_queue::take(base::time_point now)
{
    if (!due(now))
    {
        return std::nullopt;
    }
    auto bytes = std::move(waiting_.front().bytes_);
    waiting_.pop_front();
    return bytes;
}

} // namespace tanagerlead::fakes
