#pragma once

#include "src/base/random.hpp"
#include "src/routing/peer_board.hpp"
#include "src/routing/route.hpp"
#include "src/routing/target_info.hpp"
#include "src/routing/target_pace.hpp"
#include "src/sched/expiry_queue.hpp"
#include "src/sched/fair_queue.hpp"
#include "src/sched/target_health.hpp"
#include "src/sched/types.hpp"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <vector>

namespace tanagerlead::routing
{

/// A request that wants a target.
struct call_item
{
    sched::work_item work_;
    /// Time to the answer, or to the first event, that counts as on time.
    base::duration objective_{};
    /// Targets that it was sent to; it goes to none of them again.
    std::vector<base::target_id> tried_;
    /// Of the part of the prompt that a later request may share; 0: none.
    std::uint64_t affinity_ = 0;
    /// Its route is of the first rank.
    bool urgent_ = false;
    /// Its caller has part of the answer, which is lost unless it goes on.
    bool begun_ = false;
};

/// How a dispatched request ended at its target.
enum class call_end : std::uint8_t
{
    finished,
    /// The caller left, or its time was over.
    cancelled,
    /// No connection.
    not_connected,
    rejected,
    /// Another target has its address: it is gone.
    displaced,
    /// An error, a broken connection, or silence.
    failed,
};

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
    dispatcher(settings s, peer_board const& peers);

    void set_targets(std::vector<target_info> const& targets);

    void set_pools(std::vector<pool_limits> const& pools);

    void submit(call_item item, base::time_point now);
    /// A target with a free place that nobody waits for; null when there is
    /// none. Takes no place.
    target_info const* find_place(call_item const& call, base::time_point now);
    /// Takes a place at a target at once.
    void place(call_item const& call, base::target_id const& target,
               base::time_point now);
    /// Forgets a request that waits. Nothing when it does not.
    void withdraw(base::request_id request);
    /// A dispatched request is over.
    void on_end(base::request_id request, call_end end, base::time_point now);
    /// `units` of work of a dispatched request took this long.
    void on_pace(base::target_id const& target, base::duration took,
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
    struct target_record
    {
        target_info info_;
        id_digest digest_{};
        int own_ = 0;
        /// Tokens of the own requests there.
        base::token_count own_tokens_ = 0;
        /// Its address belongs to another target; until it registers anew.
        bool displaced_ = false;
        target_pace pace_;
        failure_rate failures_;
        sched::target_health health_;
    };

    struct waiting_call : sched::waiting_request
    {
        call_item call_;
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
        id_digest digest_{};
        /// Requests that can still be on time, and late ones, which come after
        /// the others of their tier.
        sched::fair_queue on_time_;
        sched::fair_queue late_;
        std::array<int, base::max_tiers> waiting_{};
        /// Refused requests that are to come back.
        double booked_ = 0;
        base::time_point booked_at_{};
        std::vector<target_record*> targets_;
        /// Of one target; zero: not limited.
        base::token_count memory_tokens_ = 0;
        /// Mean tokens of a request, to judge what others run.
        double mean_tokens_ = 0;
        /// Mean time that a request holds a place.
        double place_seconds_ = 0;
    };

    pool_record& pool(base::pool_id const& id);
    void expire(base::time_point now, std::vector<sched::action>& out);
    static sched::fair_queue& queue_of(pool_record& p, waiting_call const& w);
    static waiting_call* front(pool_record& p);
    void serve(pool_record& p, base::time_point now,
               std::vector<sched::action>& out);
    bool yields(pool_record const& p, base::tier tier, int free) const;
    /// Places left for a request that may use `extra` beyond the target's own.
    int free_places(target_record const& t, int extra,
                    base::time_point now) const;
    int free_places(pool_record const& p, int extra,
                    base::time_point now) const;
    static int extra_places(call_item const& call);
    int places(pool_record const& p) const;
    double mean_pace(pool_record const& p) const;
    target_record* choose(pool_record const& p, call_item const& call,
                          base::time_point now);
    double cost(target_record const& t, call_item const& call,
                double mean) const;
    static bool has_memory(pool_record const& p, target_record const& t,
                           int others, call_item const& call);
    static target_record const* home_of(pool_record const& p,
                                        std::uint64_t affinity);
    static bool was_tried(call_item const& call, target_record const& t);
    /// It waits for memory at a target that has a free place.
    bool lacks_memory(pool_record const& p, call_item const& call,
                      base::time_point now) const;
    bool has_target(pool_record const& p, call_item const& call) const;
    /// Of one more request of that workspace and tier.
    base::duration expected_wait(pool_record const& p,
                                 base::workspace_id const& workspace,
                                 base::tier tier) const;
    base::duration expected_wait(pool_record const& p, double ahead) const;
    void refuse(base::request_id request, sched::refusal_cause cause,
                std::vector<sched::action>& out);
    void take_place(target_record& target, call_item const& call,
                    base::time_point now);
    std::unique_ptr<waiting_call> remove(base::request_id request);
    base::duration longest_hold(call_item const& call,
                                base::time_point now) const;

    settings settings_;
    peer_board const& peers_;
    base::random_source random_;
    std::map<base::target_id, target_record> targets_;
    std::map<base::pool_id, pool_record> pools_;
    absl::flat_hash_map<base::request_id, std::unique_ptr<waiting_call>>
        waiting_;
    absl::flat_hash_map<base::request_id, running_call> in_flight_;
    sched::expiry_queue expiries_;
    base::time_point last_advance_ = base::time_point::min();
    std::vector<sched::action> refused_;
};

} // namespace tanagerlead::routing
