#pragma once

#include "src/routing/stream_origin.hpp"
#include "src/routing/target_info.hpp"

#include <map>
#include <optional>
#include <vector>

namespace tanagerlead::routing
{

/// Finds the software version of the process behind a connection. A target may
/// restart under its id and address with another version, and this daemon may
/// not hear of it for a while. A target registers before it accepts
/// connections, so the entry that the registry had after a connection was
/// opened describes the process behind it.
class target_versions
{
public:
    /// Targets register again within this time after an outage of the registry,
    /// whose entries may be outdated until then.
    static constexpr base::duration registration_time = std::chrono::seconds{2};
    /// How long a target that has left is remembered, for streams that it has
    /// just begun.
    static constexpr base::duration removal_retention =
        std::chrono::seconds{15};
    /// After which a version that is not known yet should be asked for again.
    static constexpr base::duration recheck_interval =
        std::chrono::milliseconds{20};

    void set_targets(std::vector<target_info> const& targets,
                     base::time_point now);
    void on_registry_lost();
    /// The registry has been read again.
    void on_registry_current(base::time_point now);
    /// All changes of the registry until `at` are in the targets.
    void on_registry_confirmed(base::time_point at);
    /// The registry has this entry for a target, or none, in answer to a
    /// reading that was sent at `asked`.
    void on_entry_read(base::target_id const& id,
                       std::optional<target_info> const& entry,
                       base::time_point asked);

    /// `connected_at`: when a connection to `target` was opened, which was open
    /// until now or until it broke.
    version_finding version_of(target_info const& target,
                               base::time_point connected_at,
                               base::time_point now) const;
    /// Whether entries that are read now are not those from before an outage.
    bool is_settled(base::time_point now) const { return now >= settled_at_; }
    /// From when on; max while the registry cannot be read.
    base::time_point settled_at() const { return settled_at_; }

private:
    struct known_target
    {
        target_info info_;
        std::optional<base::time_point> removed_at_;
        /// Connections that were opened until then lead to this process.
        base::time_point proved_at_ = base::time_point::min();
        /// The registry has another entry for the id by now.
        bool is_replaced_ = false;
    };

    std::map<base::target_id, known_target> entries_;
    base::time_point confirmed_at_ = base::time_point::min();
    /// Since when the entries can be relied on; max while they are not read.
    base::time_point settled_at_ = base::time_point::max();
};

} // namespace tanagerlead::routing
