#pragma once

#include "src/sched/waiting_request.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

namespace tanagerlead::sched
{

/// Relative shares of the workspaces; 1 for one not listed.
using workspace_weights = absl::flat_hash_map<base::workspace_id, double>;

/// The order in which waiting requests are served. Holds no ownership.
class waiting_queue
{
public:
    virtual ~waiting_queue() = default;

    virtual void set_weights(workspace_weights weights) = 0;

    virtual void push(waiting_request& request) = 0;
    /// The next request of a tier up to `lowest`; null when there is none.
    virtual waiting_request* front(base::tier lowest) = 0;
    /// Removes what `front` returned and charges its workspace.
    virtual void take(waiting_request& request) = 0;
    /// Removes any request without a charge.
    virtual void erase(waiting_request& request) = 0;

    /// Adds to what the workspace was charged; negative when its request cost
    /// less than expected.
    virtual void charge(base::workspace_id const& workspace, base::tier t,
                        double cost) = 0;

    virtual std::size_t size(base::tier t) const = 0;
    /// Sum of the costs waiting in the tier.
    virtual double backlog(base::tier t) const = 0;
    /// Cost expected to be served, from now, before a new request of this
    /// workspace and tier gets its turn; higher tiers included.
    virtual double cost_ahead(base::workspace_id const& workspace,
                              base::tier t) const = 0;
    /// Picks requests of a tier to refuse until `excess` is covered: newest
    /// first from the workspaces most over their shares.
    virtual std::vector<waiting_request*> victims(base::tier t,
                                                  double excess) const = 0;
};

} // namespace tanagerlead::sched
