#include "src/routing/target_announcements.hpp"

#include "src/routing/report_turn.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

bool target_announcements::on_leaving(incarnation_digest target,
                                      base::time_point now)
{
    auto const [entry, is_new] = leaving_.try_emplace(target);
    if (!entry->second.is_own_)
    {
        entry->second = {now, true};
    }
    leaving_count_ += is_new ? 1 : 0;
    return is_new;
}

bool target_announcements::on_leaving_reported(incarnation_digest target,
                                               base::time_point now)
{
    auto const is_new =
        leaving_.try_emplace(target, leaving{now, false}).second;
    leaving_count_ += is_new ? 1 : 0;
    return is_new;
}

bool target_announcements::on_pause(incarnation_digest target,
                                    base::duration pause, base::time_point now)
{
    auto const until = now + std::min(pause, max_pause);
    auto& current = paused_until_.try_emplace(target, base::time_point::min())
                        .first->second;
    auto const is_new = current <= now;
    current = std::max(current, until);
    pause_count_ += is_new ? 1 : 0;
    return is_new;
}

bool target_announcements::is_leaving(incarnation_digest target) const
{
    return leaving_.contains(target);
}

base::time_point
target_announcements::paused_until(incarnation_digest target) const
{
    auto const found = paused_until_.find(target);
    return found == paused_until_.end() ? base::time_point::min()
                                        : found->second;
}

std::vector<incarnation_digest>
target_announcements::reported(base::time_point now, std::size_t limit,
                               std::size_t first) const
{
    std::vector<incarnation_digest> recent;
    for (auto const& [target, entry] : leaving_)
    {
        if (entry.is_own_ && now - entry.announced_at_ <= report_time)
        {
            recent.push_back(target);
        }
    }
    std::sort(recent.begin(), recent.end());
    return take_turn(recent, first, limit);
}

void target_announcements::expire(base::time_point now)
{
    absl::erase_if(
        leaving_, [&](auto const& entry)
        { return now - entry.second.announced_at_ > leaving_retention; });
    absl::erase_if(paused_until_,
                   [&](auto const& entry) { return entry.second <= now; });
}

} // namespace tanagerlead::routing
