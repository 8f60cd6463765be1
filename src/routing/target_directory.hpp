#pragma once

#include "src/base/units.hpp"
#include "src/routing/target_info.hpp"

#include <map>
#include <set>

namespace tanagerlead::routing
{

/// The targets of the registry as far as this daemon knows them. Entries that
/// lapse while the registry is away say nothing about their targets, so one
/// that is missing when the registry returns is kept until `settle_time` later
/// and then dropped unless it is back.
class target_directory
{
public:
    /// Targets register again within this time after an outage.
    static constexpr base::duration settle_time = std::chrono::seconds{2};

    void on_entry(target_info entry);
    void on_removed(base::target_id const& id, base::time_point now);
    /// The whole registry, just read.
    void on_list(std::vector<target_info> entries, base::time_point now);

    void on_registry_lost();
    /// The registry answers again.
    void on_registry_back(base::time_point now);

    /// Drops what did not come back. True when anything was dropped.
    bool expire(base::time_point now);
    /// `time_point::max()` when nothing is to expire.
    base::time_point next_wakeup() const;

    /// Targets to be used, by id; leaving ones are marked.
    std::vector<target_info> targets() const;

private:
    void mark_missing(base::target_id const& id, base::time_point now);
    bool is_settling(base::time_point now) const { return now < settled_at_; }

    std::map<base::target_id, target_info> known_;
    /// Not seen since the registry came back.
    std::set<base::target_id> missing_;
    bool registry_lost_ = false;
    base::time_point settled_at_ = base::time_point::min();
};

} // namespace tanagerlead::routing
