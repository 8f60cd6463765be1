#include "src/sched/target_health.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

namespace
{

constexpr int most_doublings = 5;
/// Errors of its own, without an answer between, that count as a failure.
constexpr int errors_for_failure = 5;

} // namespace

void target_health::on_lost(base::time_point dispatched, base::time_point now)
{
    // Many requests end with one death; only the first starts a pause, and
    // late news of a death that is over starts none.
    if ((failures_ > 0 && now < pause_end_) || dispatched < recovered_)
    {
        return;
    }
    auto const doublings = std::min(failures_, most_doublings);
    pause_end_ = now + std::min(settings_.first_pause_ * (1 << doublings),
                                settings_.longest_pause_);
    ++failures_;
}

void target_health::on_error(base::time_point dispatched, base::time_point now)
{
    ++errors_in_row_;
    if (errors_in_row_ >= errors_for_failure)
    {
        on_lost(dispatched, now);
    }
}

void target_health::on_progress(base::time_point now)
{
    if (failures_ > 0)
    {
        recovered_ = now;
    }
    failures_ = 0;
    errors_in_row_ = 0;
}

int target_health::most_outstanding(int limit, base::time_point now) const
{
    if (healthy())
    {
        return limit;
    }
    return now < pause_end_ ? 0 : std::min(limit, 1);
}

base::time_point target_health::next_change(base::time_point now) const
{
    auto const pausing = !healthy() && now < pause_end_;
    return pausing ? pause_end_ : base::time_point::max();
}

} // namespace tanagerlead::sched
