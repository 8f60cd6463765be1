#include "src/routing/working_set.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

namespace
{

/// Spreads the working set over the addresses of a data centre.
std::uint64_t rank_of(peer_ip daemon)
{
    return rendezvous_rank(daemon, 0);
}

bool is_recent(base::time_point event, base::duration limit,
               base::time_point now)
{
    return event != base::time_point::min() && now - event < limit;
}

} // namespace

working_set::fleet_view view_of(peer_table const& peers, id_digest here,
                                base::time_point now)
{
    working_set::fleet_view out;
    for (auto const peer : peers.known())
    {
        ++out.known_;
        out.known_here_ += peers.data_centre_of(peer) == here ? 1 : 0;
    }
    out.ready_here_ = peers.ready(here, now);
    out.serving_here_ = peers.serving(here, now).size();
    return out;
}

std::size_t serving_count(std::size_t here, std::size_t all)
{
    if (all <= working_set::max_small_fleet)
    {
        return here;
    }
    auto const share = (working_set::max_serving * here + all - 1) / all;
    return std::min(here,
                    std::max(share, working_set::min_serving_per_data_centre));
}

bool working_set::is_chosen(fleet_view const& fleet) const
{
    auto const wanted = serving_count(fleet.known_here_ + 1, fleet.known_ + 1);
    // Many of the working set are gone at once. Those that would follow them
    // may be gone too, so all serve until the ranking has settled.
    if (2 * fleet.serving_here_ < wanted)
    {
        return true;
    }
    auto const own = rank_of(self_);
    auto const above =
        std::count_if(fleet.ready_here_.begin(), fleet.ready_here_.end(),
                      [own](peer_ip other) { return rank_of(other) > own; });
    return static_cast<std::size_t>(above) < wanted;
}

daemon_role working_set::decide(fleet_view const& fleet, base::time_point now)
{
    if (is_chosen(fleet))
    {
        last_chosen_ = now;
        return daemon_role::serving;
    }
    constexpr std::uint64_t spread_steps = 64;
    auto const spread = linger_spread *
                        static_cast<int>(rank_of(self_) % spread_steps) /
                        static_cast<int>(spread_steps);
    return is_recent(last_request_, busy_linger + spread, now) ||
                   is_recent(last_chosen_, idle_linger + spread, now)
               ? daemon_role::active
               : daemon_role::standby;
}

} // namespace tanagerlead::routing
