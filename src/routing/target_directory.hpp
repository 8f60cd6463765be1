#pragma once

#include "src/base/units.hpp"
#include "src/routing/target_info.hpp"

#include <map>
#include <set>

namespace tanagerlead::routing
{

/// The targets in the registry, as known to this daemon. An entry that expires
/// while the registry is unavailable does not mean that its target is gone. A
/// target that is missing when the registry returns is therefore kept for
/// `settle_time`, and then dropped unless it has registered again.
class target_directory
{
public:
    /// Targets register again within this time after an outage.
    static constexpr base::duration settle_time = std::chrono::seconds{2};

    void on_entry(target_info entry);
    void on_removed(base::target_id const& id, base::time_point now);
    /// All entries of the registry, just read.
    void on_list(std::vector<target_info> entries, base::time_point now);

    void on_registry_lost();
    /// The registry is available again.
    void on_registry_back(base::time_point now);

    /// Drops the targets that did not register again. True if any was dropped.
    bool expire(base::time_point now);
    /// `time_point::max()` when no target can expire.
    base::time_point next_wakeup() const;

    /// Known targets sorted by id; draining ones are marked.
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
