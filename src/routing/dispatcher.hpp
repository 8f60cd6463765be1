#pragma once

#include "src/routing/route.hpp"
#include "src/routing/target_announcements.hpp"
#include "src/routing/target_outages.hpp"
#include "src/routing/target_selector.hpp"
#include "src/sched/expiry_queue.hpp"
#include "src/sched/fair_queue.hpp"
#include "src/sched/types.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace tanagerlead::routing
{

/// What changed about the outages of targets.
struct outage_update
{
    std::vector<target_info> went_out_;
    std::vector<target_info> came_back_;
    /// To be connected to now, without a request.
    std::vector<target_info> probes_;
};

/// What this daemon knows of a target that rejects one of its requests. Times
/// are absent if there was no such event.
struct rejection_view
{
    bool is_brittle_ = false;
    /// Requests at the target, the rejected one included, and the last reported
    /// number of those of other daemons.
    int own_requests_ = 0;
    int peer_requests_ = 0;
    /// This daemon's part of the slots; all of them if they are not divided.
    int own_slots_ = 0;
    /// Time since this daemon's first request to it, since its last rejection,
    /// and since a request last ended before the target had answered it.
    std::optional<base::duration> known_for_;
    std::optional<base::duration> since_rejection_;
    std::optional<base::duration> since_early_end_;
};

/// Schedules the requests of one daemon and chooses their targets. It is built
/// for more work than the fleet can do, on targets of different speeds that run
/// requests in order of arrival and know no tiers. Each target gets at most as
/// many requests as it has slots, counting those of all daemons. The others
/// wait here: higher tiers first, and workspaces share fairly within a tier. A
/// daemon whose best request is of a lower tier leaves free slots to requests
/// of higher tiers that wait at other daemons. Requests that would wait too
/// long are refused immediately.
class dispatcher
{
public:
    struct settings
    {
        base::data_centre_id data_centre_;
        std::uint64_t seed_ = 0;
        peer_ip self_{};
        /// Targets that still keep the beginning of a prompt are preferred.
        bool weighs_kept_prompts_ = false;
    };

    /// `peers` must outlive the dispatcher.
    dispatcher(settings s, peer_table const& peers);

    void set_targets(std::vector<target_info> const& targets);

    void set_pools(std::vector<pool_limits> const& pools);

    void submit(pending_call item, base::time_point now);
    /// A target with a free slot, or null when there is none or other requests
    /// of the pool wait. Does not occupy the slot.
    target_info const* find_free_slot(pending_call const& call,
                                      base::time_point now);
    /// Occupies a slot of the target immediately.
    void assign(pending_call const& call, base::target_id const& target,
                base::time_point now);
    /// Removes a waiting request. Does nothing if it does not wait.
    void withdraw(base::request_id request);
    /// The target has begun to run the request.
    void on_admitted(base::request_id request, base::time_point now);
    /// An attempt of a dispatched request has ended.
    void on_attempt_end(base::request_id request, attempt_outcome end,
                        base::time_point now);
    /// A dispatched request took this long for `units` of work.
    void on_service_time(base::target_id const& target, base::duration took,
                         double units);
    /// A connect that carried no request succeeded or failed.
    void on_reachable(base::target_id const& target, bool reachable,
                      base::time_point now);

    /// The target said in an answer that it is shutting down: it gets no
    /// further requests. True if that was not known.
    bool on_leaving(target_info const& target, base::time_point now);
    /// Another daemon reports that a target is shutting down, which may be in
    /// the registry of that daemon only.
    void on_leaving_reported(incarnation_digest target, base::time_point now);
    /// The target wants no requests from this daemon for `pause`. True if it
    /// was not pausing.
    bool on_pause(target_info const& target, base::duration pause,
                  base::time_point now);
    target_announcements const& announcements() const { return announcements_; }
    /// The target named a limit, or none any more, in its answer to a request
    /// that was sent at `sent`. True if that changes its limit.
    bool on_limit(target_info const& target, std::optional<request_rate> limit,
                  base::time_point sent, base::time_point now);
    /// Another daemon reports what a target said about its limit.
    void on_limit_reported(limit_statement const& statement,
                           base::time_point now);
    /// The target said in its answer to a request that was sent at `sent` that
    /// it falls over beyond so many rejections a second, or said so no more.
    /// True if that was not known.
    bool on_brittle(target_info const& target,
                    std::optional<request_rate> max_rejections,
                    base::time_point sent, base::time_point now);
    /// Another daemon reports what targets said about that.
    void on_brittle_reported(peer_report const& report, base::time_point now);
    /// Whether the slots of the target are divided among the daemons.
    bool is_brittle(target_info const& target) const;
    std::size_t brittle_count() const { return brittle_.count(); }
    /// Nothing for a target that is not registered.
    std::optional<rejection_view> view_rejection(base::target_id const& target,
                                                 base::time_point now) const;
    /// The daemons that share the limits of targets; see target_limits.
    void set_fleet(std::vector<peer_ip> const& daemons, base::time_point now)
    {
        limits_.set_fleet(daemons, now);
        brittle_.set_fleet(daemons, now);
        outages_.set_fleet(daemons);
    }
    target_limits const& limits() const { return limits_; }
    /// Takes what this and other daemons saw of targets; `advance_outages` puts
    /// it in force.
    target_outages& outages() { return outages_; }
    target_outages const& outages() const { return outages_; }
    outage_update advance_outages(base::time_point now);
    /// A daemon with a slot of the pool's targets, if all that take work are
    /// brittle and none of their slots is this daemon's.
    std::optional<peer_ip> find_slot_owner(base::pool_id const& id) const;

    /// Appends the grants and refusals that are due.
    void advance(base::time_point now, std::vector<sched::action>& out);
    base::time_point next_wakeup() const;

    target_info const* find(base::target_id const& id) const;
    /// The pool with targets of this version; null if there is none.
    base::pool_id const* pool_of(version_digest version) const;
    /// Adds the number of own requests at each target, of waiting requests by
    /// pool and tier, and what targets said about themselves, from the `first`
    /// statement on if a report cannot hold all of them.
    void report_usage(peer_report& out, base::time_point now,
                      std::size_t first = 0) const;
    std::size_t waiting() const { return waiting_.size(); }
    std::size_t in_flight() const { return in_flight_.size(); }
    /// Delay after which a refused request of this pool and tier should be
    /// retried.
    base::duration retry_after(base::pool_id const& pool, base::tier tier,
                               base::time_point now);

private:
    struct waiting_call : sched::waiting_request
    {
        pending_call call_;
        /// It has waited too long to be on time.
        bool is_late_ = false;
        base::time_point refused_at_;
    };

    struct running_call
    {
        base::target_id target_;
        base::pool_id pool_;
        base::time_point dispatched_;
        base::token_count tokens_ = 0;
        /// It tries a slot that the target may not have free.
        bool is_trial_ = false;
    };

    struct pool_record
    {
        explicit pool_record(target_selector targets)
            : targets_{std::move(targets)}
        {
        }

        id_digest digest_{};
        /// Requests that can still be on time, and late ones, which are served
        /// after the others of their tier.
        sched::fair_queue on_time_;
        sched::fair_queue late_;
        std::array<int, base::max_tiers> waiting_{};
        bool is_idle() const
        {
            return std::all_of(waiting_.begin(), waiting_.end(),
                               [](int count) { return count == 0; });
        }
        /// Refused requests that are expected to be retried.
        double pending_retries_ = 0;
        base::time_point pending_retries_at_{};
        target_selector targets_;
        /// Mean time in seconds that a request occupies a slot.
        double mean_slot_seconds_ = 0;
    };

    /// Names a queue and the targets that serve it: all targets of a pool, or
    /// those of one version for the requests that are bound to it. The bound
    /// ones come first in the order of ids, since their streams have begun.
    struct lane_id
    {
        bool is_unbound_ = true;
        base::pool_id pool_;
        version_digest version_ = unknown_version;

        auto operator<=>(lane_id const&) const = default;
    };

    pool_record& pool(base::pool_id const& id);
    pool_record& lane_of(pending_call const& call);
    void fill_lanes();
    void expire(base::time_point now, std::vector<sched::action>& out);
    static sched::fair_queue& queue_of(pool_record& p, waiting_call const& w);
    static waiting_call* front(pool_record& p);
    void dispatch_waiting(pool_record& p, base::time_point now,
                          std::vector<sched::action>& out);
    /// The targets that the best waiting request of the pool may use; nothing
    /// if it must wait.
    std::optional<target_selector::scope>
    usable_targets(pool_record const& p, pending_call const& call,
                   base::time_point now) const;
    /// Time until this daemon may use a target of the pool, for callers that
    /// are refused.
    static base::duration time_to_turn(pool_record const& p,
                                       base::time_point now);
    /// Expected wait of one more request of that workspace and tier.
    base::duration expected_wait(pool_record const& p,
                                 base::workspace_id const& workspace,
                                 base::tier tier, base::time_point now) const;
    base::duration expected_wait(pool_record const& p, double ahead,
                                 base::time_point now) const;
    /// Refuses a request that no target may run.
    static void refuse_without_target(pool_record const& p,
                                      base::request_id request,
                                      base::time_point now,
                                      std::vector<sched::action>& out);
    void occupy_slot(dispatch_target& target, pending_call const& call,
                     base::time_point now);
    std::unique_ptr<waiting_call> remove(base::request_id request);
    base::duration max_wait(pending_call const& call,
                            base::time_point now) const;
    /// Copies what the target announced into its record.
    void apply_announcements(dispatch_target& target) const;
    /// The same for the record of the target's id, if there is one.
    void apply_announcements(base::target_id const& target);

    settings settings_;
    peer_table const& peers_;
    base::random_source random_;
    std::map<base::target_id, dispatch_target> targets_;
    target_announcements announcements_;
    target_outages outages_;
    target_limits limits_;
    brittle_targets brittle_;
    std::map<lane_id, pool_record> pools_;
    absl::flat_hash_map<base::request_id, std::unique_ptr<waiting_call>>
        waiting_;
    absl::flat_hash_map<base::request_id, running_call> in_flight_;
    sched::expiry_queue expiries_;
    base::time_point last_advance_ = base::time_point::min();
    std::vector<sched::action> refused_;
};

} // namespace tanagerlead::routing
