#include "src/routing/retry_budget.hpp"

#include <algorithm>
#include <numeric>

namespace tanagerlead::routing
{

namespace
{

/// Part of the ratio in use. A window counts whole steps only, so the newest
/// requests may lie outside the window in which their repeats fall.
constexpr double used_ratio = 0.85;
/// Fewest parts of the slack, for a daemon that knows few of the others yet.
constexpr std::size_t least_parts = 8;
/// Daemons may have joined that are not known here.
constexpr double unknown_daemons = 1.25;

} // namespace

retry_budget::counts& retry_budget::at(base::pool_id const& pool,
                                       base::time_point now)
{
    auto& c = pools_[pool];
    auto const length = settings_.window_.count() / std::int64_t{steps};
    auto const step = now.time_since_epoch().count() / length;
    auto const passed =
        std::min<std::int64_t>(step - c.step_, std::int64_t{steps});
    for (std::int64_t i = 0; i < passed; ++i)
    {
        auto const slot = static_cast<std::size_t>((step - i) % steps);
        c.requests_.at(slot) = 0;
        c.repeats_.at(slot) = 0;
    }
    c.step_ = step;
    return c;
}

void retry_budget::on_request(base::pool_id const& pool, base::time_point now)
{
    auto& c = at(pool, now);
    ++c.requests_.at(static_cast<std::size_t>(c.step_ % steps));
}

bool retry_budget::take(base::pool_id const& pool, base::time_point now)
{
    auto& c = at(pool, now);
    auto const requests =
        std::accumulate(c.requests_.begin(), c.requests_.end(), 0);
    auto const repeats =
        std::accumulate(c.repeats_.begin(), c.repeats_.end(), 0);
    auto const parts =
        std::max(static_cast<double>(least_parts),
                 unknown_daemons * static_cast<double>(daemons_));
    auto const allowed =
        used_ratio * settings_.ratio_ * requests + settings_.slack_ / parts;
    if (repeats + 1 > allowed)
    {
        return false;
    }
    ++c.repeats_.at(static_cast<std::size_t>(c.step_ % steps));
    return true;
}

} // namespace tanagerlead::routing
