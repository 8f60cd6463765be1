#include "src/entry/planned_stop.hpp"

#include <algorithm>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Callers learn of a planned stop within this time: they keep an answer of
/// the directory for up to three times as long as they are told.
constexpr base::duration longest_serving = 2800ms;
constexpr base::duration check_interval = 50ms;
/// Kept from the grace period for the last bytes.
constexpr base::duration margin = 400ms;

} // namespace

planned_stop::planned_stop(net::asio::io_context& loop,
                           net::http_listener& callers, event_log& log,
                           std::function<std::size_t()> calls)
    : callers_{callers}, log_{log}, calls_{std::move(calls)}, alarm_{
                                                                  loop, [this]
                                                                  {
                                                                      check();
                                                                  }}
{
}

void planned_stop::begin(base::duration grace, std::function<void()> done)
{
    begun_ = true;
    done_ = std::move(done);
    auto const now = net::now();
    refuses_from_ = now + std::min(longest_serving, grace / 3);
    ends_ = now + grace - margin;
    log_.write(line_kind::control,
               log_line{"Planned stop begins."}.with(
                   "calls", static_cast<std::int64_t>(calls_())),
               now);
    callers_.close_after_answers();
    alarm_.set(refuses_from_);
}

void planned_stop::on_call_end()
{
    if (done_)
    {
        alarm_.set(net::now());
    }
}

void planned_stop::check()
{
    auto const now = net::now();
    if (now < refuses_from_)
    {
        alarm_.set(refuses_from_);
        return;
    }
    refuses_ = true;
    callers_.close_idle();
    auto const is_quiet = calls_() == 0 && callers_.connections() == 0;
    if (!is_quiet && now < ends_)
    {
        alarm_.set_after(check_interval);
        return;
    }
    end();
}

void planned_stop::end()
{
    log_.write(line_kind::control,
               log_line{"Planned stop ends."}.with(
                   "cut", static_cast<std::int64_t>(calls_())),
               net::now());
    callers_.stop_accepting();
    auto const done = std::exchange(done_, nullptr);
    if (done)
    {
        done();
    }
}

} // namespace tanagerlead::entry
