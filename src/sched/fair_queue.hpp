#pragma once

#include "src/sched/waiting_queue.hpp"

#include <array>

namespace tanagerlead::sched
{

/// One tier of a fair queue: deficit round robin among workspaces by cost and
/// weight. Every operation except `victims` takes amortised constant time.
class fair_tier
{
public:
    void set_weights(workspace_weights const& weights);
    void push(waiting_request& request, double weight);
    waiting_request* front();
    void take(waiting_request& request);
    void erase(waiting_request& request);
    void charge(base::workspace_id const& workspace, double cost);

    std::size_t size() const { return size_; }
    double backlog() const { return backlog_; }
    double cost_ahead(base::workspace_id const& workspace, double weight) const;
    std::vector<waiting_request*> victims(double excess) const;

private:
    using flow_list = std::list<flow>;

    flow_list::iterator find_or_add_flow(base::workspace_id const& workspace,
                                         double weight);
    void unlink(waiting_request& request);
    void move_to_old_flows(flow_list::iterator turn);
    void remove_flow(flow_list& from, flow_list::iterator idle);
    void clear_flows();
    void update_quantum(double cost);

    /// Flows that became active after being idle for a whole round. Each is
    /// served once before the old flows.
    flow_list new_flows_;
    flow_list old_flows_;
    absl::flat_hash_map<base::workspace_id, flow_list::iterator> flows_;
    std::size_t size_ = 0;
    double backlog_ = 0;
    /// Sum of the weights of the flows that have requests.
    double active_weight_ = 0;
    double quantum_ = 0;
};

/// Serves tiers in strict priority order, and workspaces fairly within a tier.
class fair_queue final : public waiting_queue
{
public:
    void set_weights(workspace_weights weights) override;
    void push(waiting_request& request) override;
    waiting_request* front(base::tier lowest) override;
    void take(waiting_request& request) override;
    void erase(waiting_request& request) override;
    void charge(base::workspace_id const& workspace, base::tier t,
                double cost) override;
    std::size_t size(base::tier t) const override;
    double backlog(base::tier t) const override;
    double cost_ahead(base::workspace_id const& workspace,
                      base::tier t) const override;
    std::vector<waiting_request*> victims(base::tier t,
                                          double excess) const override;

private:
    double weight_of(base::workspace_id const& workspace) const;
    fair_tier& tier_of(waiting_request const& request);

    std::array<fair_tier, base::max_tiers> tiers_;
    workspace_weights weights_;
};

} // namespace tanagerlead::sched
