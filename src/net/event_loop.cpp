#include "src/net/event_loop.hpp"

#include <chrono>

namespace tanagerlead::net
{

base::time_point now()
{
    return base::time_point{std::chrono::duration_cast<base::duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

alarm::alarm(asio::io_context& loop, std::function<void()> rings)
    : timer_{loop}, rings_{std::move(rings)}, alive_{
                                                  std::make_shared<bool>(true)}
{
}

alarm::~alarm()
{
    *alive_ = false;
}

void alarm::set(base::time_point when)
{
    when_ = when;
    if (when < armed_)
    {
        arm();
    }
}

void alarm::arm()
{
    armed_ = when_;
    timer_.expires_at(std::chrono::steady_clock::time_point{
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            armed_.time_since_epoch())});
    timer_.async_wait(
        [this, alive = alive_](error_code const& error)
        {
            if (!*alive || error)
            {
                return;
            }
            armed_ = base::time_point::max();
            if (when_ == base::time_point::max())
            {
                return;
            }
            if (now() < when_)
            {
                arm();
                return;
            }
            when_ = base::time_point::max();
            rings_();
        });
}

} // namespace tanagerlead::net
