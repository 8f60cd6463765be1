#include "src/routing/target_directory.hpp"

#include <algorithm>
#include <utility>

namespace tanagerlead::routing
{

void target_directory::on_entry(target_info entry)
{
    missing_.erase(entry.id_);
    removed_.erase(digest_of(entry));
    known_.insert_or_assign(entry.id_, std::move(entry));
}

void target_directory::mark_missing(base::target_id const& id,
                                    base::time_point now)
{
    auto const found = known_.find(id);
    if (found == known_.end())
    {
        return;
    }
    // A draining target whose entry disappears has left, whether or not there
    // was an outage.
    if (is_settling(now) && !found->second.draining_)
    {
        missing_.insert(id);
        return;
    }
    drop(id, now);
}

void target_directory::drop(base::target_id const& id, base::time_point now)
{
    auto const found = known_.find(id);
    if (found != known_.end())
    {
        removed_[digest_of(found->second)] = now;
        known_.erase(found);
    }
    missing_.erase(id);
    std::erase_if(removed_, [&](auto const& entry)
                  { return now - entry.second > removal_retention; });
}

bool target_directory::is_removed_or_restarted(target_info const& entry) const
{
    auto const known = known_.find(entry.id_);
    return known == known_.end()
               ? removed_.contains(digest_of(entry))
               : entry.incarnation_ < known->second.incarnation_;
}

bool target_directory::is_known_to_drain(target_info const& entry) const
{
    auto const known = known_.find(entry.id_);
    return known != known_.end() && known->second.draining_ &&
           known->second.is_same_incarnation(entry);
}

void target_directory::on_removed(base::target_id const& id,
                                  base::time_point now)
{
    mark_missing(id, now);
}

void target_directory::on_list(std::vector<target_info> entries,
                               base::time_point now)
{
    auto const is_restored = std::exchange(registry_restored_, false);
    if (is_restored)
    {
        settled_at_ = std::max(settled_at_, now + settle_time);
    }
    std::set<base::target_id> gone;
    for (auto const& [id, info] : known_)
    {
        gone.insert(id);
    }
    for (auto& entry : entries)
    {
        if (is_restored && is_removed_or_restarted(entry))
        {
            continue;
        }
        gone.erase(entry.id_);
        if (!is_restored || !is_known_to_drain(entry))
        {
            on_entry(std::move(entry));
        }
    }
    for (auto const& id : gone)
    {
        mark_missing(id, now);
    }
}

void target_directory::on_registry_lost()
{
    registry_lost_ = true;
}

void target_directory::on_registry_back(base::time_point now)
{
    if (registry_lost_)
    {
        registry_lost_ = false;
        settled_at_ = now + settle_time;
    }
}

void target_directory::on_registry_back(std::size_t kept, base::time_point now)
{
    if (has_expired(known_.size() - std::min(kept, known_.size())))
    {
        on_registry_back(now);
    }
    registry_lost_ = false;
}

void target_directory::on_changes(std::vector<target_change> const& changes,
                                  base::time_point now)
{
    auto const removals =
        std::count_if(changes.begin(), changes.end(),
                      [this](target_change const& change) {
                          return !change.entry_ && known_.contains(change.id_);
                      });
    // The store was silent for so long that entries expired, and the watch
    // outlived that.
    if (removals > 1 && has_expired(static_cast<std::size_t>(removals)))
    {
        on_registry_lost();
        on_registry_back(now);
    }
    for (auto const& change : changes)
    {
        if (change.entry_)
        {
            on_entry(*change.entry_);
        }
        else
        {
            on_removed(change.id_, now);
        }
    }
}

void target_directory::on_registry_restored(base::time_point now)
{
    registry_restored_ = true;
    settled_at_ = std::max(settled_at_, now + settle_time);
}

bool target_directory::expire(base::time_point now)
{
    if (registry_lost_ || is_settling(now) || missing_.empty())
    {
        return false;
    }
    for (auto const& id : std::exchange(missing_, {}))
    {
        drop(id, now);
    }
    return true;
}

base::time_point target_directory::next_wakeup() const
{
    return registry_lost_ || missing_.empty() ? base::time_point::max()
                                              : settled_at_;
}

std::vector<target_info> target_directory::targets() const
{
    std::vector<target_info> out;
    out.reserve(known_.size());
    for (auto const& [id, info] : known_)
    {
        out.push_back(info);
    }
    return out;
}

} // namespace tanagerlead::routing
