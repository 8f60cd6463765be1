#pragma once

#include "src/base/random.hpp"
#include "src/sched/cell_targets.hpp"
#include "src/sched/expiry_queue.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <memory>

namespace tanagerlead::sched
{

/// The engine around the parts of one policy.
///
/// Tier order. The engine grants a tier only while nothing of a higher tier
/// waits for the same targets.
class scheduler final : public cell_scheduler
{
public:
    explicit scheduler(policy const& parts);

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
    void advance(base::time_point now, std::vector<action>& out) override;
    base::time_point next_wakeup() const override;
    std::size_t waiting() const override { return waiting_.size(); }
    std::size_t in_flight() const override { return in_flight_.size(); }

private:
    struct running_request
    {
        work_item item_;
        target_state* target_ = nullptr;
        base::time_point dispatched_;
        double cost_ = 1;
    };
    struct workspace_state
    {
        std::int64_t most_waiting_ = 0;
        std::int64_t waiting_ = 0;
        bool configured_ = false;
    };

    void touch(base::time_point now);
    bool known(base::request_id request) const;
    std::unique_ptr<waiting_request> prepare(work_item const& item,
                                             base::time_point now) const;
    void set_expiry(waiting_request& request) const;
    bool over_workspace_limit(base::workspace_id const& workspace) const;

    void admit(std::unique_ptr<waiting_request> request);
    /// Ends the wait of a request; the caller refuses or grants it.
    std::unique_ptr<waiting_request> remove(base::request_id request);
    void forget(waiting_request const& request);
    void refuse(work_item const& item, refusal_cause cause);
    void refuse_waiting(base::request_id request, refusal_cause cause);
    base::duration retry_after(work_item const& item, refusal_cause cause);

    void expire(base::time_point now);
    void refuse_unserved();
    void dispatch(base::time_point now, std::vector<action>& out);
    void run(waiting_request& request, target_state& target,
             base::time_point now, std::vector<action>& out);
    void end(base::request_id request);
    void apply(dispatch_report const& event, running_request const& run,
               base::time_point now);

    policy const& parts_;
    std::unique_ptr<waiting_queue> queue_;
    std::unique_ptr<target_choice> choice_;
    cell_targets targets_;
    expiry_queue expiries_;
    base::random_source random_;

    std::array<base::duration, base::max_tiers> longest_wait_{};
    absl::flat_hash_map<base::workspace_id, workspace_state> workspaces_;
    absl::flat_hash_map<base::request_id, std::unique_ptr<waiting_request>>
        waiting_;
    absl::flat_hash_map<base::request_id, running_request> in_flight_;
    std::vector<refusal> refusals_;
    absl::flat_hash_set<base::request_id> refused_;

    base::tier lowest_permitted_{base::max_tiers - 1};
    bool targets_changed_ = false;
    /// Something happened since the last `advance`.
    bool touched_ = false;
    base::time_point now_{};
};

} // namespace tanagerlead::sched
