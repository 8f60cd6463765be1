#include "src/sched/workspace_table.hpp"

#include <cassert>

namespace tanagerlead::sched
{

workspace_weights workspace_table::configure(
    std::vector<config::workspace_config> const& workspaces)
{
    for (auto& [id, state] : states_)
    {
        state.configured_ = false;
        state.max_waiting_ = 0;
    }
    workspace_weights weights;
    weights.reserve(workspaces.size());
    for (auto const& w : workspaces)
    {
        auto& state = find_or_add(w.id_);
        state.configured_ = true;
        state.max_waiting_ = w.most_waiting_;
        weights[w.id_] = w.weight_;
    }
    absl::erase_if(
        states_, [](auto const& entry)
        { return !entry.second.configured_ && entry.second.waiting_ == 0; });
    return weights;
}

workspace_state& workspace_table::find_or_add(base::workspace_id const& id)
{
    auto const [place, added] = states_.try_emplace(id);
    if (added)
    {
        place->second.id_ = id;
    }
    return place->second;
}

void workspace_table::on_request_removed(workspace_state& state)
{
    assert(state.waiting_ > 0);
    --state.waiting_;
    if (state.waiting_ == 0 && !state.configured_)
    {
        // The key must not be a reference into the erased entry.
        auto const id = state.id_;
        states_.erase(id);
    }
}

} // namespace tanagerlead::sched
