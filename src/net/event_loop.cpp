#include "src/net/event_loop.hpp"

#include "src/base/clock.hpp"

namespace tanagerlead::net
{

base::time_point now()
{
    return base::time_since_boot();
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
    auto const current = now();
    timer_.expires_after(timer_expiry_ > current ? timer_expiry_ - current
                                                 : base::duration{});
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
