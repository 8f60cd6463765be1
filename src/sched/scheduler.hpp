#pragma once

#include "src/sched/admission.hpp"
#include "src/sched/cell_targets.hpp"
#include "src/sched/deferred_requests.hpp"
#include "src/sched/expiry_queue.hpp"
#include "src/sched/length_estimator.hpp"
#include "src/sched/pending_refusals.hpp"
#include "src/sched/quarantine.hpp"
#include "src/sched/running_request.hpp"
#include "src/sched/workspace_table.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>

namespace tanagerlead::sched
{

/// A cell scheduler that runs the components of one policy.
class scheduler final : public cell_scheduler
{
public:
    explicit scheduler(policy const& scheduling_policy);

    void configure(cell_settings const& settings) override;
    void enqueue(work_item const& item, base::time_point now) override;
    void withdraw(base::request_id request, base::time_point now) override;
    void adopt(work_item const& item, base::target_id const& target,
               base::time_point now) override;
    void report(dispatch_report const& event, base::time_point now) override;
    void observe(target_load const& load, base::time_point now) override;
    void set_leaving(base::target_id const& target, bool leaving,
                     base::time_point now) override;
    void permit_down_to(base::tier lowest, base::time_point now) override;
    void permit_shed_from(base::tier highest, base::time_point now) override;
    std::optional<base::tier> pressure() const override;
    std::vector<suspicion>
    export_suspicions(base::time_point now) const override;
    void import_suspicions(std::vector<suspicion> const& suspicions,
                           base::time_point now) override;
    void advance(base::time_point now, std::vector<action>& out) override;
    base::time_point next_wakeup() const override;
    std::size_t waiting() const override { return waiting_.size(); }
    std::size_t in_flight() const override { return in_flight_.size(); }

private:
    void record_event(base::time_point now);
    bool is_known(base::request_id request) const;
    std::unique_ptr<waiting_request> make_waiting_request(work_item const& item,
                                                          base::time_point now);
    void set_expiry(waiting_request& request) const;
    std::optional<refusal_cause>
    find_refusal_cause(waiting_request const& request,
                       base::time_point now) const;
    void admit(std::unique_ptr<waiting_request> request);
    /// Removes a waiting request without granting or refusing it.
    std::unique_ptr<waiting_request> remove(base::request_id request);
    void untrack(waiting_request const& request);

    void refuse(work_item const& item, refusal_cause cause);
    void refuse_waiting(base::request_id request, refusal_cause cause);
    double retry_seconds(work_item const& item, refusal_cause cause) const;

    void expire();
    void postpone_expiry(waiting_request& request);
    void refuse_unserved();
    void shed();

    void dispatch(std::vector<action>& out);
    bool dispatch_one(base::tier lowest, std::vector<action>& out);
    bool dispatch_deferred(base::tier lowest, std::vector<action>& out);
    /// Targets on which the request may run now; may be empty.
    candidates candidates_for(waiting_request const& request);
    bool is_suspect(waiting_request const& request) const;
    void defer(waiting_request& request, placement const& where);
    void dispatch_to(waiting_request& request, target_state& target,
                     std::vector<action>& out);
    void start(running_request run);
    void end(base::request_id request);
    void apply(dispatch_report const& event, running_request& run);
    void on_first_token(running_request& run, base::duration elapsed);
    void on_finished(running_request& run, dispatch_report const& event);

    policy const& policy_;
    std::unique_ptr<waiting_queue> queue_;
    std::unique_ptr<target_choice> choice_;
    cell_targets targets_;
    admission admission_;
    length_estimator lengths_;
    quarantine quarantine_;
    deferred_requests deferred_;
    expiry_queue expiries_;
    workspace_table workspaces_;
    pending_refusals refusals_;

    absl::flat_hash_map<base::request_id, std::unique_ptr<waiting_request>>
        waiting_;
    absl::flat_hash_map<base::request_id, running_request> in_flight_;
    /// Fingerprints of the suspects in flight.
    absl::flat_hash_set<std::uint64_t> running_suspects_;
    std::vector<target_state*> suspect_free_targets_;

    base::tier lowest_permitted_{base::max_tiers - 1};
    bool targets_changed_ = false;
    /// An event arrived after the last `advance`.
    bool has_new_events_ = false;
    base::time_point now_{};
};

} // namespace tanagerlead::sched
