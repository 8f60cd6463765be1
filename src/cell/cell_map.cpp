#include "src/cell/cell_map.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace tanagerlead::cell
{

namespace
{
struct cell_key
{
    base::pool_id pool_;
    std::string group_;

    auto operator<=>(cell_key const&) const = default;
};

using target_list = std::vector<config::target_config>;

base::cell_id name_of(cell_key const& key, std::size_t index)
{
    return base::cell_id{key.pool_.str() + "/" + key.group_ + "/" +
                         std::to_string(index)};
}

/// Rendezvous hashing with a bound on each cell, so that a target that comes
/// or goes moves few others.
std::vector<target_list> split(cell_key const& key, target_list targets)
{
    std::sort(targets.begin(), targets.end(),
              [](auto const& a, auto const& b) { return a.id_ < b.id_; });
    auto const cells =
        (targets.size() + most_targets_per_cell - 1) / most_targets_per_cell;
    std::vector<target_list> placed(cells);
    for (auto& target : targets)
    {
        std::size_t best = cells;
        std::uint64_t best_weight = 0;
        for (std::size_t i = 0; i < cells; ++i)
        {
            auto const weight =
                rendezvous_weight(target.id_.str(), name_of(key, i).str());
            auto const has_room = placed[i].size() < most_targets_per_cell;
            if (has_room && (best == cells || weight > best_weight))
            {
                best = i;
                best_weight = weight;
            }
        }
        placed[best].push_back(std::move(target));
    }
    return placed;
}

std::vector<base::pool_id> pools_of(target_list const& targets)
{
    std::vector<base::pool_id> pools;
    for (auto const& target : targets)
    {
        pools.insert(pools.end(), target.pools_.begin(), target.pools_.end());
    }
    std::sort(pools.begin(), pools.end());
    pools.erase(std::unique(pools.begin(), pools.end()), pools.end());
    return pools;
}

/// A suspect keeps its cells: most suspicions are refuted within moments, the
/// entries' standing share bridges those, and moving a cell twice costs more.
bool may_own(membership::member const& m)
{
    return m.state_ == membership::member_state::alive ||
           m.state_ == membership::member_state::suspect;
}

bool is_leaving(membership::member const& m)
{
    return m.state_ == membership::member_state::leaving;
}
} // namespace

std::uint64_t rendezvous_weight(std::string const& key,
                                std::string const& choice)
{
    auto const seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(choice.data(), choice.size(), seed);
}

cell_map::cell_map(config::configuration const& configuration,
                   membership::member_list const& members)
{
    for (auto const& group : configuration.groups_)
    {
        for (auto const& data_centre : group.data_centres_)
        {
            groups_.emplace(data_centre, group.name_);
        }
    }
    place_targets(configuration);
    choose_owners(members);
}

cell_layout const* cell_map::find(base::cell_id const& cell) const
{
    auto const found = cells_.find(cell);
    return found == cells_.end() ? nullptr : &found->second;
}

daemon_life cell_map::owner(base::cell_id const& cell) const
{
    auto const found = owners_.find(cell);
    return found == owners_.end() ? daemon_life{} : found->second;
}

std::vector<base::cell_id>
cell_map::serving(base::pool_id const& pool,
                  base::data_centre_id const& near) const
{
    auto const group = group_of(near);
    std::vector<base::cell_id> all;
    std::vector<base::cell_id> in_group;
    for (auto const& [id, layout] : cells_)
    {
        auto const& pools = layout.pools_;
        if (!std::binary_search(pools.begin(), pools.end(), pool))
        {
            continue;
        }
        all.push_back(id);
        if (layout.group_ == group)
        {
            in_group.push_back(id);
        }
    }
    return in_group.empty() ? all : in_group;
}

std::string cell_map::group_of(base::data_centre_id const& data_centre) const
{
    auto const found = groups_.find(data_centre);
    return found == groups_.end() ? data_centre.str() : found->second;
}

void cell_map::place_targets(config::configuration const& configuration)
{
    std::map<cell_key, target_list> by_key;
    for (auto const& target : configuration.targets_)
    {
        if (target.pools_.empty())
        {
            continue;
        }
        cell_key key{target.pools_.front(), group_of(target.data_centre_)};
        by_key[std::move(key)].push_back(target);
    }
    for (auto& [key, targets] : by_key)
    {
        auto placed = split(key, std::move(targets));
        for (std::size_t i = 0; i < placed.size(); ++i)
        {
            if (placed[i].empty())
            {
                continue;
            }
            auto id = name_of(key, i);
            auto pools = pools_of(placed[i]);
            cells_[id] = {id, key.group_, std::move(placed[i]),
                          std::move(pools)};
        }
    }
}

void cell_map::choose_owners(membership::member_list const& members)
{
    for (auto const& [id, layout] : cells_)
    {
        using rank = std::pair<int, std::uint64_t>;
        rank best{-1, 0};
        for (auto const& m : members.members_)
        {
            if (!may_own(m) && !is_leaving(m))
            {
                continue;
            }
            // Nearest first; one that leaves only when nobody else is left.
            constexpr int near = 2;
            constexpr int far = 1;
            auto const is_near = group_of(m.data_centre_) == layout.group_;
            auto const preference = is_leaving(m) ? 0 : is_near ? near : far;
            rank const candidate{preference,
                                 rendezvous_weight(id.str(), m.daemon_.str())};
            if (candidate > best)
            {
                best = candidate;
                owners_[id] = {m.daemon_, m.origin_};
            }
        }
    }
}

} // namespace tanagerlead::cell
