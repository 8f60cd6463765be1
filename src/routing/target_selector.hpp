#pragma once

#include "src/base/random.hpp"
#include "src/routing/peer_table.hpp"
#include "src/routing/pending_call.hpp"
#include "src/routing/service_time_estimate.hpp"
#include "src/routing/target_info.hpp"
#include "src/sched/target_health.hpp"

namespace tanagerlead::routing
{

/// A target and what this daemon knows of it.
struct dispatch_target
{
    target_info info_;
    id_digest digest_{};
    /// Own requests there, and their tokens.
    int own_requests_ = 0;
    base::token_count own_tokens_ = 0;
    /// Its address belongs to another target; until it registers anew.
    bool displaced_ = false;
    service_time_estimate service_time_;
    failure_rate failures_;
    sched::target_health health_;

    bool takes_work() const { return !info_.draining_ && !displaced_; }
};

/// Tokens that a request takes of a target's memory.
base::token_count tokens_of(pending_call const& call);

/// The targets of one pool and the choice among those with a free place. Load
/// it answers: targets of unlike speed, prompts that delay their neighbours,
/// parts of prompts that a target still has.
class target_selector
{
public:
    /// `peers`, `here` and `random` outlive it.
    target_selector(peer_table const& peers,
                    base::data_centre_id const& local_data_centre,
                    base::random_source& random)
        : peers_{&peers}, local_data_centre_{&local_data_centre}, random_{
                                                                      &random}
    {
    }

    void clear() { targets_.clear(); }
    /// `target` stays where it is until `clear`.
    void add(dispatch_target& target) { targets_.push_back(&target); }
    /// Tokens that one target holds; zero: not limited.
    void set_kv_capacity(base::token_count tokens)
    {
        kv_capacity_tokens_ = tokens;
    }
    /// A request of so many tokens got a place.
    void on_assigned(base::token_count tokens);

    /// Places of all targets that take work.
    int slot_count() const;
    /// Places that are free for this request.
    int free_slots(pending_call const& call, base::time_point now) const;
    /// Null when no target has a place for it.
    dispatch_target* choose(pending_call const& call, base::time_point now);
    /// Whether any target may get it, now or later.
    bool has_target(pending_call const& call) const;
    /// It waits for memory at a target that has a free place.
    bool lacks_kv_capacity(pending_call const& call,
                           base::time_point now) const;

private:
    /// Requests of the other daemons there.
    int peer_requests_at(dispatch_target const& t) const
    {
        return peers_->in_flight_elsewhere(t.digest_);
    }
    /// Places left for a request that may use `extra` beyond the target's own.
    static int free_slots(dispatch_target const& t, int peer_requests,
                          int extra, base::time_point now);
    double mean_service_time() const;
    double cost(dispatch_target const& t, int peer_requests,
                pending_call const& call, double mean) const;
    bool has_kv_capacity(dispatch_target const& t, int peer_requests,
                         pending_call const& call) const;
    dispatch_target const* affinity_target(std::uint64_t affinity) const;

    peer_table const* peers_;
    base::data_centre_id const* local_data_centre_;
    base::random_source* random_;
    std::vector<dispatch_target*> targets_;
    base::token_count kv_capacity_tokens_ = 0;
    /// Mean tokens of a request, to judge what others run.
    double mean_tokens_ = 0;
};

} // namespace tanagerlead::routing
