#pragma once

#include "src/base/units.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace tanagerlead::net
{

namespace asio = boost::asio;
using error_code = boost::system::error_code;

/// Current time, which event loops and decision objects share as their time
/// base. It counts suspensions of the machine; a timer that was running during
/// one fires late by its length.
base::time_point now();

/// Calls a handler once at a deadline that can be moved. Moving the deadline to
/// a later time costs no call into the timer queue.
class deadline_timer
{
public:
    deadline_timer(asio::io_context& loop, std::function<void()> on_expiry);
    ~deadline_timer();
    deadline_timer(deadline_timer const&) = delete;
    deadline_timer& operator=(deadline_timer const&) = delete;

    void set(base::time_point when);
    void set_after(base::duration delay) { set(now() + delay); }
    void clear() { deadline_ = base::time_point::max(); }
    bool is_set() const { return deadline_ != base::time_point::max(); }

private:
    void arm();

    asio::steady_timer timer_;
    std::function<void()> on_expiry_;
    base::time_point deadline_ = base::time_point::max();
    /// When `timer_` fires; `max()` when it is not running.
    base::time_point timer_expiry_ = base::time_point::max();
    /// Shared with queued handlers, which may run after this object is
    /// destroyed; false by then.
    std::shared_ptr<bool> alive_;
};

} // namespace tanagerlead::net
