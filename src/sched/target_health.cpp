#include "src/sched/target_health.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

namespace
{

constexpr int max_doublings = 5;
/// Consecutive errors of the target, without output between them, that count as
/// a failure.
constexpr int errors_for_failure = 5;

} // namespace

void target_health::on_lost(base::time_point dispatched, base::time_point now)
{
    // Many requests fail with one crash. Only the first starts a backoff, and a
    // late report of a crash from which the target has recovered starts none.
    if ((failures_ > 0 && now < backoff_end_) || dispatched < recovered_at_)
    {
        return;
    }
    auto const doublings = std::min(failures_, max_doublings);
    backoff_end_ = now + std::min(settings_.initial_backoff_ * (1 << doublings),
                                  settings_.max_backoff_);
    ++failures_;
}

void target_health::on_error(base::time_point dispatched, base::time_point now)
{
    ++consecutive_errors_;
    if (consecutive_errors_ >= errors_for_failure)
    {
        on_lost(dispatched, now);
    }
}

void target_health::on_progress(base::time_point now)
{
    if (failures_ > 0)
    {
        recovered_at_ = now;
    }
    failures_ = 0;
    consecutive_errors_ = 0;
}

int target_health::max_outstanding(int limit, base::time_point now) const
{
    if (healthy())
    {
        return limit;
    }
    return now < backoff_end_ ? 0 : std::min(limit, 1);
}

base::time_point target_health::next_change(base::time_point now) const
{
    auto const is_backing_off = !healthy() && now < backoff_end_;
    return is_backing_off ? backoff_end_ : base::time_point::max();
}

} // namespace tanagerlead::sched
