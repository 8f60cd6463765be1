#include "src/routing/target_directory.hpp"

namespace tanagerlead::routing
{

void target_directory::on_entry(target_info entry)
{
    missing_.erase(entry.id_);
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
    missing_.erase(id);
    known_.erase(found);
}

void target_directory::on_removed(base::target_id const& id,
                                  base::time_point now)
{
    mark_missing(id, now);
}

void target_directory::on_list(std::vector<target_info> entries,
                               base::time_point now)
{
    std::set<base::target_id> gone;
    for (auto const& [id, info] : known_)
    {
        gone.insert(id);
    }
    for (auto& entry : entries)
    {
        gone.erase(entry.id_);
        on_entry(std::move(entry));
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

bool target_directory::expire(base::time_point now)
{
    if (registry_lost_ || is_settling(now) || missing_.empty())
    {
        return false;
    }
    for (auto const& id : missing_)
    {
        known_.erase(id);
    }
    missing_.clear();
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
