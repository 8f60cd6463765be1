#pragma once

#include "src/config/configuration.hpp"
#include "src/sched/waiting_queue.hpp"

#include <absl/container/node_hash_map.h>

#include <vector>

namespace tanagerlead::sched
{

/// A scheduler's state of one workspace.
struct workspace_state
{
    base::workspace_id id_;
    /// Maximum number of waiting requests; zero means no limit.
    std::int64_t max_waiting_ = 0;
    std::int64_t waiting_ = 0;
    bool configured_ = false;

    bool over_limit() const
    {
        return max_waiting_ > 0 && waiting_ > max_waiting_;
    }
};

/// The configured workspaces, and others while they have waiting requests.
class workspace_table
{
public:
    /// Returns the weights for the queue.
    workspace_weights
    configure(std::vector<config::workspace_config> const& workspaces);

    /// Returns the workspace's state, adding it if needed. The reference stays
    /// valid until `on_request_removed` for the workspace's last request.
    workspace_state& find_or_add(base::workspace_id const& id);
    /// Decrements the number of waiting requests. Erases the state of an
    /// unconfigured workspace with no waiting requests left.
    void on_request_removed(workspace_state& state);

private:
    absl::node_hash_map<base::workspace_id, workspace_state> states_;
};

} // namespace tanagerlead::sched
