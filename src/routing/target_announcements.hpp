#pragma once

#include "src/base/units.hpp"
#include "src/routing/target_info.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <vector>

namespace tanagerlead::routing
{

/// What targets say about themselves in their answers: that they are shutting
/// down, or that they want no requests from this daemon for a while. An answer
/// arrives before the registry has the change, or without it. A statement holds
/// for one incarnation of a target and outlives a temporary absence of its
/// registry entry.
class target_announcements
{
public:
    /// How long a shutdown is remembered, which exceeds the life of a target
    /// that is shutting down.
    static constexpr base::duration leaving_retention =
        std::chrono::minutes{10};
    /// How long a shutdown is repeated in reports to other daemons.
    static constexpr base::duration report_time = std::chrono::seconds{3};
    /// Longest pause. A target that needs longer asks again.
    static constexpr base::duration max_pause = std::chrono::hours{1};

    /// The target is shutting down. True if that was not known.
    bool on_leaving(incarnation_digest target, base::time_point now);
    /// Another daemon reports that the target is shutting down.
    bool on_leaving_reported(incarnation_digest target, base::time_point now);
    /// The target wants no requests from this daemon for `pause`. A pause that
    /// ends before the current one does not shorten it. True if the target was
    /// not pausing.
    bool on_pause(incarnation_digest target, base::duration pause,
                  base::time_point now);

    bool is_leaving(incarnation_digest target) const;
    /// `time_point::min()` for a target that never asked for a pause.
    base::time_point paused_until(incarnation_digest target) const;
    /// Shutdowns that this daemon learned from the targets themselves within
    /// `report_time`, at most `limit`, from the `first` one on in a fixed
    /// order.
    std::vector<incarnation_digest> reported(base::time_point now,
                                             std::size_t limit,
                                             std::size_t first = 0) const;
    /// Forgets statements that no longer matter.
    void expire(base::time_point now);

    std::uint64_t leaving_count() const { return leaving_count_; }
    std::uint64_t pause_count() const { return pause_count_; }

private:
    struct leaving
    {
        base::time_point announced_at_;
        /// Learned from the target itself, so this daemon reports it.
        bool is_own_ = false;
    };

    absl::flat_hash_map<incarnation_digest, leaving> leaving_;
    absl::flat_hash_map<incarnation_digest, base::time_point> paused_until_;
    std::uint64_t leaving_count_ = 0;
    std::uint64_t pause_count_ = 0;
};

} // namespace tanagerlead::routing
