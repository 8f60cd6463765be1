#include "src/request/request_table.hpp"

#include <vector>

namespace tanagerlead::request
{

namespace
{

/// No workspace name contains the separator, so no two pairs share a text.
std::string map_key(base::workspace_id const& workspace, std::string const& key)
{
    return workspace.str() + '\0' + key;
}

} // namespace

std::size_t request_table::key_compare::hash(std::string const& key)
{
    return std::hash<std::string>{}(key);
}

bool request_table::key_compare::equal(std::string const& a,
                                       std::string const& b)
{
    return a == b;
}

std::size_t request_table::id_compare::hash(base::request_id const& id)
{
    return std::hash<base::request_id>{}(id);
}

bool request_table::id_compare::equal(base::request_id const& a,
                                      base::request_id const& b)
{
    return a == b;
}

request_table::request_table(memory_limits const& limits,
                             base::clock const& clock)
    : limits_{limits}, clock_{clock}
{
}

record_ptr request_table::add_or_join(
    record_ptr const& wanted,
    std::function<bool(request_record const&)> const& replaces)
{
    auto const& identity = wanted->identity();
    if (!identity.key_.empty())
    {
        key_map::accessor slot;
        by_key_.insert(slot, map_key(identity.workspace_, identity.key_));
        if (slot->second && !replaces(*slot->second))
        {
            return slot->second;
        }
        slot->second = wanted;
    }
    by_id_.insert({identity.id_, wanted});
    return wanted;
}

record_ptr request_table::find(base::request_id id,
                               base::workspace_id const& workspace) const
{
    id_map::const_accessor slot;
    if (!by_id_.find(slot, id) ||
        slot->second->identity().workspace_ != workspace)
    {
        return nullptr;
    }
    return slot->second;
}

record_ptr request_table::find_key(base::workspace_id const& workspace,
                                   std::string const& key) const
{
    key_map::const_accessor slot;
    return by_key_.find(slot, map_key(workspace, key)) ? slot->second : nullptr;
}

void request_table::remember(record_ptr const& ended)
{
    auto const now = clock_.now();
    std::vector<record_ptr> forgotten;
    {
        std::lock_guard const lock{ended_mutex_};
        ended_.push_back({ended, now, ended->answer().bytes()});
        ended_bytes_ += ended_.back().bytes_;
        while (over_limit(now))
        {
            ended_bytes_ -= ended_.front().bytes_;
            forgotten.push_back(std::move(ended_.front().record_));
            ended_.pop_front();
        }
    }
    for (auto const& record : forgotten)
    {
        forget(record);
    }
}

bool request_table::over_limit(base::time_point now) const
{
    return !ended_.empty() &&
           (ended_.size() > limits_.most_ended_ ||
            ended_bytes_ > limits_.most_ended_bytes_ ||
            now - ended_.front().when_ > limits_.keep_ended_);
}

void request_table::forget(record_ptr const& record)
{
    auto const& identity = record->identity();
    by_id_.erase(identity.id_);
    if (identity.key_.empty())
    {
        return;
    }
    key_map::accessor slot;
    if (by_key_.find(slot, map_key(identity.workspace_, identity.key_)) &&
        slot->second == record)
    {
        by_key_.erase(slot);
    }
}

} // namespace tanagerlead::request
