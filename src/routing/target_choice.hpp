#pragma once

#include "src/base/random.hpp"
#include "src/routing/call_item.hpp"
#include "src/routing/peer_board.hpp"
#include "src/routing/target_info.hpp"
#include "src/routing/target_pace.hpp"
#include "src/sched/target_health.hpp"

namespace tanagerlead::routing
{

/// A target and what this daemon knows of it.
struct dispatch_target
{
    target_info info_;
    id_digest digest_{};
    /// Own requests there, and their tokens.
    int own_ = 0;
    base::token_count own_tokens_ = 0;
    /// Its address belongs to another target; until it registers anew.
    bool displaced_ = false;
    target_pace pace_;
    failure_rate failures_;
    sched::target_health health_;

    bool takes_work() const { return !info_.draining_ && !displaced_; }
};

/// Tokens that a request takes of a target's memory.
base::token_count tokens_of(call_item const& call);

/// The targets of one pool and the choice among those with a free place. Load
/// it answers: targets of unlike speed, prompts that delay their neighbours,
/// parts of prompts that a target still has.
class target_choice
{
public:
    /// `peers`, `here` and `random` outlive it.
    target_choice(peer_board const& peers, base::data_centre_id const& here,
                  base::random_source& random)
        : peers_{&peers}, here_{&here}, random_{&random}
    {
    }

    void clear() { targets_.clear(); }
    /// `target` stays where it is until `clear`.
    void add(dispatch_target& target) { targets_.push_back(&target); }
    /// Tokens that one target holds; zero: not limited.
    void set_memory(base::token_count tokens) { memory_tokens_ = tokens; }
    /// A request of so many tokens got a place.
    void on_taken(base::token_count tokens);

    /// Places of all targets that take work.
    int places() const;
    /// Places that are free for this request.
    int free_places(call_item const& call, base::time_point now) const;
    /// Null when no target has a place for it.
    dispatch_target* choose(call_item const& call, base::time_point now);
    /// Whether any target may get it, now or later.
    bool has_target(call_item const& call) const;
    /// It waits for memory at a target that has a free place.
    bool lacks_memory(call_item const& call, base::time_point now) const;

private:
    /// Requests of the other daemons there.
    int others_at(dispatch_target const& t) const
    {
        return peers_->in_flight_elsewhere(t.digest_);
    }
    /// Places left for a request that may use `extra` beyond the target's own.
    static int free_places(dispatch_target const& t, int others, int extra,
                           base::time_point now);
    double mean_pace() const;
    double cost(dispatch_target const& t, int others, call_item const& call,
                double mean) const;
    bool has_memory(dispatch_target const& t, int others,
                    call_item const& call) const;
    dispatch_target const* home_of(std::uint64_t affinity) const;

    peer_board const* peers_;
    base::data_centre_id const* here_;
    base::random_source* random_;
    std::vector<dispatch_target*> targets_;
    base::token_count memory_tokens_ = 0;
    /// Mean tokens of a request, to judge what others run.
    double mean_tokens_ = 0;
};

} // namespace tanagerlead::routing
