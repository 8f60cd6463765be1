#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <cstdint>
#include <map>

namespace tanagerlead::routing
{

/// Decides when the registry entry of a target is read on its own, to find out
/// which process is behind a connection. A reading serves all connections to
/// the target that were opened before it was sent, so that a release, in which
/// many connections are new, costs few calls.
class entry_readings
{
public:
    /// Least time between two readings of an entry.
    static constexpr base::duration min_interval =
        std::chrono::milliseconds{50};
    /// A reading counts as lost after this long.
    static constexpr base::duration timeout = std::chrono::seconds{1};

    /// Whether the entry is to be read now for a connection that was opened at
    /// `connected_at`. To be asked again until the process is known.
    bool start(base::target_id const& target, base::time_point connected_at,
               base::time_point now);
    /// Readings that were started.
    std::uint64_t count() const { return count_; }

private:
    /// When the last reading of each entry was sent.
    std::map<base::target_id, base::time_point> sent_;
    std::uint64_t count_ = 0;
};

} // namespace tanagerlead::routing
