#pragma once

#include "src/base/units.hpp"
#include "src/routing/target_info.hpp"

#include <map>
#include <optional>
#include <set>

namespace tanagerlead::routing
{

/// A new registry entry, or the removal of one.
struct target_change
{
    base::target_id id_;
    std::optional<target_info> entry_;
};

/// The targets in the registry, as known to this daemon. An entry that expires
/// while the registry is unavailable does not mean that its target is gone. A
/// target that is missing when the registry returns is therefore kept for
/// `settle_time`, and then dropped unless it has registered again. If only this
/// daemon was away from the registry, missing targets are dropped at once.
///
/// A registry that was restored from an older copy lists targets that have left
/// since and lacks targets that have joined. What an entry of such a listing
/// says against newer knowledge counts only once the target writes the entry
/// again.
class target_directory
{
public:
    /// Targets register again within this time after an outage.
    static constexpr base::duration settle_time = std::chrono::seconds{2};
    /// How long a removed target is remembered, which exceeds the age of a
    /// copy.
    static constexpr base::duration removal_retention = std::chrono::minutes{5};

    void on_entry(target_info entry);
    void on_removed(base::target_id const& id, base::time_point now);
    /// Changes that were read together.
    void on_changes(std::vector<target_change> const& changes,
                    base::time_point now);
    /// All entries of the registry, just read.
    void on_list(std::vector<target_info> entries, base::time_point now);

    void on_registry_lost();
    /// The registry is available again, and entries may have expired meanwhile.
    void on_registry_back(base::time_point now);
    /// The same, and the next listing has `kept` entries that were written
    /// before the registry was lost.
    void on_registry_back(std::size_t kept, base::time_point now);
    /// The registry was restored from an older copy; the next listing shows it.
    void on_registry_restored(base::time_point now);

    /// Drops the targets that did not register again. Must follow an answer of
    /// the registry, which could have shown them. True if any was dropped.
    bool expire(base::time_point now);
    /// When the registry should be listed to decide on missing targets;
    /// `time_point::max()` if none is missing.
    base::time_point next_wakeup() const;

    /// Known targets sorted by id; draining ones are marked.
    std::vector<target_info> targets() const;

private:
    void mark_missing(base::target_id const& id, base::time_point now);
    void drop(base::target_id const& id, base::time_point now);
    /// Whether the target has left since the entry was written, or has started
    /// again.
    bool is_removed_or_restarted(target_info const& entry) const;
    bool is_known_to_drain(target_info const& entry) const;
    /// Whether so many entries are gone at once that they must have expired. An
    /// outage that is long enough for that takes the entries of all targets,
    /// since none of them can renew its own.
    bool has_expired(std::size_t gone) const
    {
        return 2 * gone >= known_.size();
    }
    bool is_settling(base::time_point now) const { return now < settled_at_; }

    std::map<base::target_id, target_info> known_;
    /// Not seen since the registry came back.
    std::set<base::target_id> missing_;
    /// When targets were dropped.
    std::map<incarnation_digest, base::time_point> removed_;
    bool registry_lost_ = false;
    bool registry_restored_ = false;
    base::time_point settled_at_ = base::time_point::min();
};

} // namespace tanagerlead::routing
