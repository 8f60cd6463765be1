#pragma once

#include "src/routing/stream_origin.hpp"
#include "src/routing/target_info.hpp"

#include <map>
#include <optional>
#include <vector>

namespace tanagerlead::routing
{

/// Finds the software version of the process behind a connection. A target may
/// restart under its id and address with another version, and the registry says
/// so only a moment later. So a connection leads to the process that the entry
/// describes if the entry is the same a moment after the connection was opened.
class target_versions
{
public:
    /// A change of the registry is known here this long after it was made,
    /// while the registry is current.
    static constexpr base::duration publication_time = std::chrono::seconds{1};
    /// A silent registry is noticed within this time.
    static constexpr base::duration notice_time = std::chrono::seconds{2};
    /// Targets register again within this time after an outage.
    static constexpr base::duration registration_time = std::chrono::seconds{2};
    /// How long a target that has left is remembered, for streams that it has
    /// just begun.
    static constexpr base::duration removal_retention =
        std::chrono::seconds{10};

    void set_targets(std::vector<target_info> const& targets,
                     base::time_point now);
    void on_registry_lost(base::time_point now);
    /// The registry has been read again.
    void on_registry_current(base::time_point now);

    /// `connected_at`: when a connection to `target` was opened, which was open
    /// until now or until it broke.
    version_finding version_of(target_info const& target,
                               base::time_point connected_at,
                               base::time_point now) const;

private:
    struct entry
    {
        target_info info_;
        std::optional<base::time_point> removed_at_;
    };

    bool is_current(base::time_point now) const { return now >= settled_at_; }

    std::map<base::target_id, entry> entries_;
    /// Until when the entries were known to be current before the last outage.
    base::time_point lost_at_{};
    /// Since when they are known to be current again; max while they are not
    /// read.
    base::time_point settled_at_ = base::time_point::max();
};

} // namespace tanagerlead::routing
