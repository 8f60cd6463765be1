#include "src/routing/retry_budget.hpp"

#include <algorithm>
#include <numeric>

namespace tanagerlead::routing
{

namespace
{

/// Fraction of the ratio that is used. A window counts whole steps only, so the
/// newest requests may lie outside the window in which their retries fall.
constexpr double usable_ratio_fraction = 0.85;
/// The slack is divided into at least this many shares, for a daemon that does
/// not know many of the others yet.
constexpr std::size_t min_shares = 8;
/// Daemons that are no longer known count for at least this long.
constexpr base::duration count_period = std::chrono::minutes{10};
/// Factor for daemons that have joined and are not known here yet.
constexpr double unknown_daemon_factor = 1.25;

} // namespace

retry_budget::counts& retry_budget::at(base::pool_id const& pool,
                                       base::time_point now)
{
    auto& c = pools_[pool];
    auto const length = settings_.window_.count() / std::int64_t{step_count};
    auto const step = now.time_since_epoch().count() / length;
    auto const passed =
        std::min<std::int64_t>(step - c.step_, std::int64_t{step_count});
    for (std::int64_t i = 0; i < passed; ++i)
    {
        auto const slot = static_cast<std::size_t>((step - i) % step_count);
        c.requests_.at(slot) = 0;
        c.retries_.at(slot) = 0;
    }
    c.step_ = step;
    return c;
}

void retry_budget::on_daemons(std::size_t count, base::time_point now)
{
    if (now - period_start_ >= count_period)
    {
        previous_daemons_ = daemons_;
        daemons_ = 0;
        period_start_ = now;
    }
    daemons_ = std::max(daemons_, count);
}

std::size_t retry_budget::known_daemons() const
{
    return std::max(daemons_, previous_daemons_);
}

void retry_budget::on_request(base::pool_id const& pool, base::time_point now)
{
    auto& c = at(pool, now);
    ++c.requests_.at(static_cast<std::size_t>(c.step_ % step_count));
}

bool retry_budget::try_take(base::pool_id const& pool, base::time_point now)
{
    auto& c = at(pool, now);
    auto const requests =
        std::accumulate(c.requests_.begin(), c.requests_.end(), 0);
    auto const retries =
        std::accumulate(c.retries_.begin(), c.retries_.end(), 0);
    auto const daemons = known_daemons();
    auto const shares =
        std::max(static_cast<double>(min_shares),
                 unknown_daemon_factor * static_cast<double>(daemons));
    auto const share = daemons == 0 ? 0.0 : settings_.slack_ / shares;
    auto const allowed =
        usable_ratio_fraction * settings_.ratio_ * requests + share;
    if (retries + 1 > allowed)
    {
        return false;
    }
    ++c.retries_.at(static_cast<std::size_t>(c.step_ % step_count));
    return true;
}

} // namespace tanagerlead::routing
