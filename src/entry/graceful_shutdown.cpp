#include "src/entry/graceful_shutdown.hpp"

#include <algorithm>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Callers notice a shutdown within this time: they cache an answer of the
/// directory for up to three times its lifetime.
constexpr base::duration max_serving_time = 2800ms;
constexpr base::duration check_interval = 50ms;
/// Part of the grace period reserved for sending the last bytes.
constexpr base::duration flush_margin = 400ms;

} // namespace

graceful_shutdown::graceful_shutdown(net::asio::io_context& loop,
                                     net::http_listener& callers,
                                     rate_limited_log& log,
                                     std::function<std::size_t()> call_count)
    : callers_{callers}, log_{log},
      call_count_{std::move(call_count)}, timer_{loop, [this]
                                                 {
                                                     check();
                                                 }}
{
}

void graceful_shutdown::begin(base::duration grace_period,
                              std::function<void()> done)
{
    begun_ = true;
    done_ = std::move(done);
    auto const now = net::now();
    reject_from_ = now + std::min(max_serving_time, grace_period / 3);
    end_by_ = now + grace_period - flush_margin;
    log_.write(log_category::control_plane,
               log_line{"Graceful shutdown started."}.with(
                   "calls", static_cast<std::int64_t>(call_count_())),
               now);
    callers_.close_after_answers();
    timer_.set(reject_from_);
}

void graceful_shutdown::check_soon()
{
    if (done_)
    {
        timer_.set(net::now());
    }
}

void graceful_shutdown::check()
{
    auto const now = net::now();
    if (now < reject_from_)
    {
        timer_.set(reject_from_);
        return;
    }
    rejects_requests_ = true;
    callers_.close_idle();
    auto const is_drained =
        call_count_() == 0 && callers_.connection_count() == 0;
    if (!is_drained && now < end_by_)
    {
        timer_.set_after(check_interval);
        return;
    }
    end();
}

void graceful_shutdown::end()
{
    log_.write(log_category::control_plane,
               log_line{"Graceful shutdown finished."}.with(
                   "cut", static_cast<std::int64_t>(call_count_())),
               net::now());
    callers_.stop_accepting();
    auto const done = std::exchange(done_, nullptr);
    if (done)
    {
        done();
    }
}

} // namespace tanagerlead::entry
