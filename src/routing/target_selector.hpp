#pragma once

#include "src/base/random.hpp"
#include "src/routing/brittle_targets.hpp"
#include "src/routing/peer_table.hpp"
#include "src/routing/pending_call.hpp"
#include "src/routing/prefix_memory.hpp"
#include "src/routing/service_time_estimate.hpp"
#include "src/routing/target_info.hpp"
#include "src/sched/target_health.hpp"

namespace tanagerlead::routing
{

/// A target and what this daemon knows about it.
struct dispatch_target
{
    target_info info_;
    id_digest digest_{};
    incarnation_digest incarnation_{};
    version_digest version_ = unknown_version;
    /// This daemon's requests at the target, and their tokens.
    int own_requests_ = 0;
    base::token_count own_tokens_ = 0;
    /// Its address belongs to another target. Set until the target registers
    /// again.
    bool displaced_ = false;
    /// It announced in an answer that it is shutting down, whatever its
    /// registry entry says.
    bool announced_leaving_ = false;
    /// No daemon can connect to it; see target_outages.
    bool is_out_ = false;
    /// It asked this daemon for a pause until this time.
    base::time_point paused_until_ = base::time_point::min();
    /// This daemon's first request, and the last ones that it rejected and that
    /// ended before it had answered them; nothing if there was none.
    std::optional<base::time_point> first_sent_at_;
    std::optional<base::time_point> rejected_at_;
    std::optional<base::time_point> ended_early_at_;
    service_time_estimate service_time_;
    failure_rate failures_;
    prefix_memory prefixes_;
    sched::target_health health_;

    /// It may run requests, now or after a pause.
    bool takes_work() const
    {
        return !info_.draining_ && !displaced_ && !announced_leaving_;
    }
    bool is_paused(base::time_point now) const { return now < paused_until_; }
};

/// Tokens that a request occupies in a target's memory.
base::token_count tokens_of(pending_call const& call);

/// Holds the targets of one pool and chooses among those with a free slot. The
/// choice accounts for targets of different speeds, prompts that delay other
/// requests at the target, and prompt prefixes that a target still has in its
/// cache.
class target_selector
{
public:
    /// The arguments must outlive the selector.
    /// `brittle` holds the slots of the targets that must not be overfilled.
    target_selector(peer_table const& peers, target_limits const& limits,
                    brittle_targets const& brittle,
                    base::data_centre_id const& local_data_centre,
                    base::random_source& random)
        : peers_{&peers}, limits_{&limits}, brittle_{&brittle},
          local_data_centre_{&local_data_centre}, random_{&random}
    {
    }

    void clear() { targets_.clear(); }
    /// `target` must keep its address until `clear`.
    void add(dispatch_target& target) { targets_.push_back(&target); }
    /// Sets how many tokens one target holds; zero: no limit.
    void set_kv_capacity(base::token_count tokens)
    {
        kv_capacity_tokens_ = tokens;
    }
    /// Whether the choice weighs what targets keep of prompts, in pools whose
    /// memory is known.
    void set_weighs_kept_prompts(bool weighs) { weighs_kept_prompts_ = weighs; }
    /// A request of this many tokens was assigned.
    void on_assigned(base::token_count tokens);
    /// The request was sent to the target and occupies its slot.
    void on_sent(dispatch_target& t, pending_call const& call,
                 base::time_point now) const;

    /// Slots of all targets that take work now. A target with a limit counts
    /// with those that it fills when a request takes `slot_seconds`.
    double slot_count(double slot_seconds, base::time_point now) const;
    /// Time until a target takes a request of this daemon if all of them pause
    /// or have limits; otherwise zero. Nothing if this daemon has no share of
    /// any limit.
    std::optional<base::duration> first_turn(base::time_point now) const;
    /// Requests a second that the targets take together, if all of those that
    /// take work have limits.
    std::optional<request_rate> total_limit() const;

    /// A daemon that has a slot of a random target, if all that take work are
    /// brittle and none of their slots is this daemon's.
    std::optional<peer_ip> find_slot_owner() const;

    /// Which targets may be chosen.
    enum class scope : std::uint8_t
    {
        all,
        /// Those with limits, of which each daemon has its own share.
        limited,
    };
    /// Slots that are free for this request.
    int free_slots(pending_call const& call, scope where,
                   base::time_point now) const;
    /// The target with the lowest cost; null when none has a slot for the
    /// request.
    dispatch_target* choose(pending_call const& call, scope where,
                            base::time_point now);
    /// Whether any target may run the request, now or later.
    bool has_target(pending_call const& call) const;
    /// Whether the request waits for memory at a target that has a free slot.
    bool lacks_kv_capacity(pending_call const& call,
                           base::time_point now) const;

private:
    /// Requests of the other daemons at the target.
    int peer_requests_at(dispatch_target const& t) const
    {
        return peers_->in_flight_elsewhere(t.digest_);
    }
    /// Slots left for a request that may use `extra` slots beyond the target's
    /// own.
    int free_slots(dispatch_target const& t, int peer_requests, int extra,
                   base::time_point now) const;
    target_limit const* limit_of(dispatch_target const& t) const
    {
        return limits_->find(t.incarnation_);
    }
    double mean_service_time() const;
    /// `kept`: tokens of the prompt that the target need not read.
    double cost(dispatch_target const& t, int peer_requests,
                pending_call const& call, double kept, double mean) const;
    /// Whether the choice weighs what targets keep of the prompt.
    bool weighs_kept_parts(pending_call const& call) const
    {
        return weighs_kept_prompts_ && kv_capacity_tokens_ > 0 &&
               !call.prompt_.empty();
    }
    bool may_take(dispatch_target const& t, int peer_requests,
                  pending_call const& call, scope where,
                  base::time_point now) const;
    /// The target with a slot for the request that all daemons prefer for the
    /// beginning of its prompt. Null if there is none, or if the choice does
    /// not weigh kept parts.
    dispatch_target const* common_holder(pending_call const& call, scope where,
                                         base::time_point now) const;
    bool has_kv_capacity(dispatch_target const& t, int peer_requests,
                         pending_call const& call) const;
    dispatch_target const* affinity_target(std::uint64_t affinity) const;

    peer_table const* peers_;
    target_limits const* limits_;
    brittle_targets const* brittle_;
    base::data_centre_id const* local_data_centre_;
    base::random_source* random_;
    std::vector<dispatch_target*> targets_;
    base::token_count kv_capacity_tokens_ = 0;
    bool weighs_kept_prompts_ = false;
    /// Mean tokens of a request, used to estimate the memory that requests of
    /// other daemons occupy.
    double mean_tokens_ = 0;
};

} // namespace tanagerlead::routing
