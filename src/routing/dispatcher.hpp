#pragma once

#include "src/routing/route.hpp"
#include "src/routing/target_selector.hpp"
#include "src/sched/expiry_queue.hpp"
#include "src/sched/fair_queue.hpp"
#include "src/sched/types.hpp"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <vector>

namespace tanagerlead::routing
{

/// Chooses order and targets for the requests of one daemon. Load it answers:
/// more work than the fleet can do, at unlike targets that admit in order of
/// arrival and know no tiers. Each target gets at most as many requests as it
/// runs at once, counting those of all daemons; the others wait here, higher
/// tiers first and workspaces fairly within a tier. A daemon whose best
/// request is of a lower tier leaves free places to requests of higher tiers
/// that wait at other daemons. What would wait too long is refused at once.
class dispatcher
{
public:
    struct settings
    {
        base::data_centre_id data_centre_;
        std::uint64_t seed_ = 0;
    };

    /// `peers` outlives it.
    dispatcher(settings s, peer_table const& peers);

    void set_targets(std::vector<target_info> const& targets);

    void set_pools(std::vector<pool_limits> const& pools);

    void submit(pending_call item, base::time_point now);
    /// A target with a free place that nobody waits for; null when there is
    /// none. Takes no place.
    target_info const* find_free_slot(pending_call const& call,
                                      base::time_point now);
    /// Takes a place at a target at once.
    void assign(pending_call const& call, base::target_id const& target,
                base::time_point now);
    /// Forgets a request that waits. Nothing when it does not.
    void withdraw(base::request_id request);
    /// A dispatched request is over.
    void on_attempt_end(base::request_id request, attempt_outcome end,
                        base::time_point now);
    /// `units` of work of a dispatched request took this long.
    void on_service_time(base::target_id const& target, base::duration took,
                         double units);
    /// A connect without a request failed, or worked.
    void on_reachable(base::target_id const& target, bool reachable,
                      base::time_point now);

    /// Grants and refusals that are due.
    void advance(base::time_point now, std::vector<sched::action>& out);
    base::time_point next_wakeup() const;

    target_info const* find(base::target_id const& id) const;
    /// Own requests at each target that has any, and those that wait.
    void report_usage(peer_report& out) const;
    std::size_t waiting() const { return waiting_.size(); }
    std::size_t in_flight() const { return in_flight_.size(); }
    /// When a refused request of this pool and tier may come back.
    base::duration retry_after(base::pool_id const& pool, base::tier tier,
                               base::time_point now);

private:
    struct waiting_call : sched::waiting_request
    {
        pending_call call_;
        /// It waits for longer than leaves it on time.
        bool is_late_ = false;
        base::time_point refused_at_;
    };

    struct running_call
    {
        base::target_id target_;
        base::pool_id pool_;
        base::time_point dispatched_;
        base::token_count tokens_ = 0;
    };

    struct pool_record
    {
        explicit pool_record(target_selector targets)
            : targets_{std::move(targets)}
        {
        }

        id_digest digest_{};
        /// Requests that can still be on time, and late ones, which come after
        /// the others of their tier.
        sched::fair_queue on_time_;
        sched::fair_queue late_;
        std::array<int, base::max_tiers> waiting_{};
        /// Refused requests that are to come back.
        double pending_retries_ = 0;
        base::time_point pending_retries_at_{};
        target_selector targets_;
        /// Mean time that a request holds a place.
        double mean_slot_seconds_ = 0;
    };

    pool_record& pool(base::pool_id const& id);
    void expire(base::time_point now, std::vector<sched::action>& out);
    static sched::fair_queue& queue_of(pool_record& p, waiting_call const& w);
    static waiting_call* front(pool_record& p);
    void dispatch_waiting(pool_record& p, base::time_point now,
                          std::vector<sched::action>& out);
    bool yields_to_peers(pool_record const& p, base::tier tier, int free) const;
    /// Of one more request of that workspace and tier.
    base::duration expected_wait(pool_record const& p,
                                 base::workspace_id const& workspace,
                                 base::tier tier) const;
    base::duration expected_wait(pool_record const& p, double ahead) const;
    void refuse(base::request_id request, sched::refusal_cause cause,
                std::vector<sched::action>& out);
    void occupy_slot(dispatch_target& target, pending_call const& call,
                     base::time_point now);
    std::unique_ptr<waiting_call> remove(base::request_id request);
    base::duration max_wait(pending_call const& call,
                            base::time_point now) const;

    settings settings_;
    peer_table const& peers_;
    base::random_source random_;
    std::map<base::target_id, dispatch_target> targets_;
    std::map<base::pool_id, pool_record> pools_;
    absl::flat_hash_map<base::request_id, std::unique_ptr<waiting_call>>
        waiting_;
    absl::flat_hash_map<base::request_id, running_call> in_flight_;
    sched::expiry_queue expiries_;
    base::time_point last_advance_ = base::time_point::min();
    std::vector<sched::action> refused_;
};

} // namespace tanagerlead::routing
