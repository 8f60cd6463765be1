#pragma once

#include "src/base/random.hpp"
#include "src/routing/pool_brittleness.hpp"
#include "src/routing/slot_doubt.hpp"
#include "src/routing/target_limits.hpp"

#include <map>
#include <optional>
#include <vector>

namespace tanagerlead::routing
{

/// Targets that fall over if they have to turn many requests away. The slots of
/// such a target are divided among the daemons; see target_limits. The targets
/// of a pool become brittle together, so one that has said nothing yet, such as
/// one that is back after a fall, counts as what its pool last was.
///
/// A slot whose request was turned away rests for so long that all daemons
/// together cause at most half of the rejections that the target stands.
class brittle_targets
{
public:
    /// Rejections a second that a target stands if it names no number.
    static constexpr request_rate default_max_rejections{1};

    brittle_targets(peer_ip self, std::uint64_t seed)
        : slots_{self}, random_{seed}
    {
    }

    void set_fleet(std::vector<peer_ip> const& daemons, base::time_point now);
    void set_targets(std::vector<target_info> const& targets);

    /// The target answered a request that was sent at `sent`, and said how many
    /// rejections a second it stands, or that it is not brittle. True if that
    /// was not known.
    bool on_answer(target_info const& target,
                   std::optional<request_rate> max_rejections,
                   base::time_point sent, base::time_point now);
    /// The same for one target, from the report of another daemon.
    void on_reported(limit_statement const& statement, base::time_point now);
    /// The same for a pool.
    void on_pool_reported(pool_brittleness const& reported,
                          base::time_point now);

    /// This daemon's slots of the target; null if it is not brittle.
    target_limit const* find(incarnation_digest target) const
    {
        return slots_.find(target);
    }
    /// This daemon's slots of a brittle target that it may use now.
    int usable_slots(incarnation_digest target, base::time_point now) const;
    /// A request is sent to the target while `in_use` slots are taken. True if
    /// it tries a slot that is in doubt; see slot_doubt.
    bool on_sent(incarnation_digest target, int in_use, base::time_point now);
    /// The target has begun to run a request that tried a slot.
    void on_admitted(incarnation_digest target, base::time_point now);
    /// The target turned a request away, which tried a slot if `is_trial`.
    void on_rejected(incarnation_digest target, bool is_trial,
                     base::time_point now);

    /// The connection to the target was lost or given up, so that it may still
    /// run the request.
    void on_lost(incarnation_digest target, bool is_trial,
                 base::time_point now);

    /// A daemon that has slots of the target; nothing if the fleet is not
    /// known.
    std::optional<peer_ip> first_sharer(incarnation_digest target) const
    {
        return slots_.first_sharer(target);
    }
    /// No target has said that it is brittle.
    bool empty() const { return slots_.empty(); }
    std::size_t count() const { return slots_.count(); }

    /// Adds what is known, from the `first` statement on if a report cannot
    /// hold all of it.
    void add_to(peer_report& out, base::time_point now,
                std::size_t first) const;

private:
    struct pool_statement
    {
        /// Not set if the targets are brittle no more.
        std::optional<request_rate> max_rejections_;
        base::time_point stated_at_;
    };

    struct registered_target
    {
        id_digest pool_{};
        int slots_ = 1;
    };

    /// True if the pool was not known to be that.
    bool state_pool(id_digest pool, std::optional<request_rate> max_rejections,
                    base::time_point stated);
    /// Targets of the pool that have said nothing are taken to be brittle.
    void assume(id_digest pool, base::time_point stated);

    /// Time in which each daemon that has slots of the target may be turned
    /// away once.
    base::duration rejection_interval(incarnation_digest target) const;
    /// Further slots may be taken at the target.
    void doubt(incarnation_digest target, int slots, base::time_point now);
    int slots_at(incarnation_digest target) const;

    /// Statements of targets, with the slots as the limit.
    target_limits slots_;
    base::random_source random_;
    std::map<id_digest, pool_statement> pools_;
    std::map<incarnation_digest, registered_target> targets_;
    std::map<incarnation_digest, slot_doubt> doubts_;
};

} // namespace tanagerlead::routing
