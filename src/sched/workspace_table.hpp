#pragma once

#include "src/config/configuration.hpp"
#include "src/sched/waiting_queue.hpp"

#include <absl/container/node_hash_map.h>

#include <vector>

namespace tanagerlead::sched
{

/// What a scheduler knows of one workspace.
struct workspace_state
{
    base::workspace_id id_;
    /// Most requests waiting at one time; no limit when zero.
    std::int64_t max_waiting_ = 0;
    std::int64_t waiting_ = 0;
    bool configured_ = false;

    bool over_limit() const
    {
        return max_waiting_ > 0 && waiting_ > max_waiting_;
    }
};

/// Workspaces of the configuration, and others while they have requests.
class workspace_table
{
public:
    /// Returns the weights for the queue.
    workspace_weights
    configure(std::vector<config::workspace_config> const& workspaces);

    /// Stays in place until `on_request_removed` for its last request.
    workspace_state& find_or_add(base::workspace_id const& id);
    /// One request fewer waits.
    void on_request_removed(workspace_state& state);

private:
    absl::node_hash_map<base::workspace_id, workspace_state> states_;
};

} // namespace tanagerlead::sched
