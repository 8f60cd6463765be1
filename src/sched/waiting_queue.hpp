#pragma once

#include "src/sched/waiting_request.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

namespace tanagerlead::sched
{

/// Relative shares of the workspaces; unlisted workspaces have weight 1.
using workspace_weights = absl::flat_hash_map<base::workspace_id, double>;

/// Orders waiting requests for dispatch. Does not own the requests.
class waiting_queue
{
public:
    virtual ~waiting_queue() = default;

    virtual void set_weights(workspace_weights weights) = 0;

    virtual void push(waiting_request& request) = 0;
    /// Returns the next request in tier `lowest` or a higher one; null if there
    /// is none.
    virtual waiting_request* front(base::tier lowest) = 0;
    /// Removes the request that `front` returned and charges its workspace.
    virtual void take(waiting_request& request) = 0;
    /// Removes any request without charging its workspace.
    virtual void erase(waiting_request& request) = 0;

    /// Charges `cost` to the workspace. A negative cost is a refund for a
    /// request that cost less than expected.
    virtual void charge(base::workspace_id const& workspace, base::tier t,
                        double cost) = 0;

    virtual std::size_t size(base::tier t) const = 0;
    /// Sum of the costs of the requests waiting in the tier.
    virtual double backlog(base::tier t) const = 0;
    /// Estimates the cost that is served before a new request of this workspace
    /// and tier, including that of higher tiers.
    virtual double cost_ahead(base::workspace_id const& workspace,
                              base::tier t) const = 0;
    /// Selects requests of a tier to refuse until their costs cover `excess`.
    /// It starts with the workspaces that have the largest backlog for their
    /// weight and takes their newest requests first.
    virtual std::vector<waiting_request*> victims(base::tier t,
                                                  double excess) const = 0;
};

} // namespace tanagerlead::sched
