#include "src/routing/target_versions.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

namespace
{

bool is_same_process(target_info const& a, target_info const& b)
{
    return a.is_same_incarnation(b) && a.version_ == b.version_;
}

} // namespace

void target_versions::set_targets(std::vector<target_info> const& targets,
                                  base::time_point now)
{
    for (auto& [id, known] : entries_)
    {
        known.removed_at_ = known.removed_at_.value_or(now);
    }
    for (auto const& info : targets)
    {
        auto& known = entries_[info.id_];
        if (!is_same_process(known.info_, info))
        {
            known = {};
        }
        known.info_ = info;
        known.removed_at_.reset();
    }
    std::erase_if(entries_,
                  [now](auto const& known)
                  {
                      auto const& removed_at = known.second.removed_at_;
                      return removed_at &&
                             now - *removed_at > removal_retention;
                  });
}

void target_versions::on_registry_lost()
{
    settled_at_ = base::time_point::max();
}

void target_versions::on_registry_current(base::time_point now)
{
    settled_at_ = now + registration_time;
}

void target_versions::on_registry_confirmed(base::time_point at)
{
    if (is_settled(at))
    {
        confirmed_at_ = std::max(confirmed_at_, at);
    }
}

// A target that restarts replaces its entry, so without one no other process
// has come.
void target_versions::on_entry_read(base::target_id const& id,
                                    std::optional<target_info> const& entry,
                                    base::time_point asked)
{
    auto const known = entries_.find(id);
    if (known == entries_.end() || !is_settled(asked))
    {
        return;
    }
    auto& mine = known->second;
    if (entry && !is_same_process(mine.info_, *entry))
    {
        mine.is_replaced_ = true;
        return;
    }
    mine.proved_at_ = std::max(mine.proved_at_, asked);
}

// A target that restarts replaces its entry, so a removed entry described its
// process to the end.
version_finding target_versions::version_of(target_info const& target,
                                            base::time_point connected_at,
                                            base::time_point now) const
{
    auto const known = entries_.find(target.id_);
    if (known == entries_.end() ||
        !is_same_process(known->second.info_, target))
    {
        return {};
    }
    auto const& mine = known->second;
    auto const version = digest_of(target.pool_, target.version_);
    auto const proved_at = std::max(mine.proved_at_, confirmed_at_);
    if (version == unknown_version || connected_at <= proved_at)
    {
        return {version, {}};
    }
    if (mine.is_replaced_)
    {
        return {};
    }
    return {version, std::max(settled_at_, now + recheck_interval)};
}

} // namespace tanagerlead::routing
