#include "src/rollout/exposure_budget.hpp"

#include <algorithm>

namespace tanagerlead::rollout
{

namespace
{

/// Fraction of the share that is used. Requests that ended at a daemon that was
/// killed before they were sent on may not count as requests of the pool.
constexpr double usable_share_fraction = 0.85;
/// The slack is divided into at least this many parts, for a daemon that does
/// not know many of the others yet.
constexpr std::size_t min_parts = 8;
/// Factor for daemons that are not known here yet.
constexpr double unknown_daemon_factor = 1.25;

} // namespace

exposure_budget::exposure_budget(settings const& s, std::size_t daemons)
    : share_{usable_share_fraction * s.share_},
      slack_part_{daemons == 0
                      ? 0.0
                      : s.slack_ / std::max(static_cast<double>(min_parts),
                                            unknown_daemon_factor *
                                                static_cast<double>(daemons))}
{
}

bool exposure_budget::try_take()
{
    auto const allowed = share_ * static_cast<double>(requests_) + slack_part_;
    if (static_cast<double>(taken_ + 1) > allowed)
    {
        return false;
    }
    ++taken_;
    return true;
}

} // namespace tanagerlead::rollout
