#pragma once

#include "src/base/random.hpp"
#include "src/base/units.hpp"
#include "src/routing/target_info.hpp"

#include <map>
#include <set>
#include <vector>

namespace tanagerlead::routing
{

/// Tells whether this daemon can open connections to the targets of each pool.
/// A daemon that is cut off from a pool learns it from connects that fail at
/// several targets with none that succeeds between them; it probes them to
/// learn when it is no longer cut off.
class target_reach
{
public:
    /// A pool counts as unreachable after connects to this many of its targets,
    /// or to all of them, have failed in a row. Fewer may have crashed.
    static constexpr std::size_t max_unreachable = 3;
    /// Pause between two probes of a pool that is about to count as
    /// unreachable, and of one that does.
    static constexpr base::duration suspicion_interval =
        std::chrono::milliseconds{100};
    static constexpr base::duration recovery_interval =
        std::chrono::milliseconds{500};

    explicit target_reach(std::uint64_t seed) : random_{seed} {}

    void set_targets(std::vector<target_info> const& targets);
    /// A connect to the target succeeded or failed. True if that changes
    /// whether its pool is reached.
    bool on_connect(target_info const& target, bool connected,
                    base::time_point now);

    bool reaches(base::pool_id const& pool) const;
    std::vector<base::pool_id> unreachable_pools() const;
    /// There are targets, and none of their pools is reached.
    bool is_cut_off() const;

    /// The targets to which a connection should be opened now.
    std::vector<target_info> due_probes(base::time_point now);
    /// `time_point::max()` if no pool needs probes.
    base::time_point next_probe() const;

private:
    struct pool_reach
    {
        std::vector<target_info> targets_;
        /// Targets that failed since the last success.
        std::set<base::target_id> failed_;
        bool is_reached_ = true;
        base::time_point probe_at_ = base::time_point::max();
    };

    /// Further targets that must fail before the pool counts as unreachable.
    static std::size_t failures_left(pool_reach const& p);

    base::random_source random_;
    std::map<base::pool_id, pool_reach> pools_;
};

} // namespace tanagerlead::routing
