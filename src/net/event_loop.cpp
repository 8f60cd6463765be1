#include "src/net/event_loop.hpp"

#include <chrono>

namespace tanagerlead::net
{

base::time_point now()
{
    return base::time_point{std::chrono::duration_cast<base::duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

deadline_timer::deadline_timer(asio::io_context& loop,
                               std::function<void()> on_expiry)
    : timer_{loop},
      on_expiry_{std::move(on_expiry)}, alive_{std::make_shared<bool>(true)}
{
}

deadline_timer::~deadline_timer()
{
    *alive_ = false;
}

void deadline_timer::set(base::time_point when)
{
    deadline_ = when;
    if (when < timer_expiry_)
    {
        arm();
    }
}

void deadline_timer::arm()
{
    timer_expiry_ = deadline_;
    timer_.expires_at(std::chrono::steady_clock::time_point{
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            timer_expiry_.time_since_epoch())});
    timer_.async_wait(
        [this, alive = alive_](error_code const& error)
        {
            if (!*alive || error)
            {
                return;
            }
            timer_expiry_ = base::time_point::max();
            if (deadline_ == base::time_point::max())
            {
                return;
            }
            if (now() < deadline_)
            {
                arm();
                return;
            }
            deadline_ = base::time_point::max();
            on_expiry_();
        });
}

} // namespace tanagerlead::net
