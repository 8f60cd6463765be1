#pragma once

#include "src/config/configuration.hpp"
#include "src/membership/view.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerlead::cell
{

/// Most targets in one cell.
constexpr std::size_t most_targets_per_cell = 16;

/// One life of one daemon.
struct daemon_life
{
    base::daemon_id daemon_;
    /// `request_id::origin_` of that life.
    std::uint64_t origin_ = 0;

    auto operator<=>(daemon_life const&) const = default;
};

/// Targets of one pool and group of data centres, scheduled together.
struct cell_layout
{
    base::cell_id id_;
    /// Name of the group; of the data centre when it is in no group.
    std::string group_;
    std::vector<config::target_config> targets_;
    /// Every pool that one of the targets serves.
    std::vector<base::pool_id> pools_;
};

/// Which cells there are and who owns them. Daemons with the same
/// configuration and the same members come to the same map.
class cell_map
{
public:
    cell_map() = default;
    cell_map(config::configuration const& configuration,
             membership::member_list const& members);

    std::map<base::cell_id, cell_layout> const& cells() const { return cells_; }
    /// Null when there is no such cell.
    cell_layout const* find(base::cell_id const& cell) const;
    /// Empty while no daemon can own it.
    daemon_life owner(base::cell_id const& cell) const;
    /// Cells with a target for the pool: those of the data centre's group, or
    /// all when that group has none.
    std::vector<base::cell_id> serving(base::pool_id const& pool,
                                       base::data_centre_id const& near) const;

private:
    std::string group_of(base::data_centre_id const& data_centre) const;
    void place_targets(config::configuration const& configuration);
    void choose_owners(membership::member_list const& members);

    std::map<base::data_centre_id, std::string> groups_;
    std::map<base::cell_id, cell_layout> cells_;
    std::map<base::cell_id, daemon_life> owners_;
};

/// Weight of a choice in rendezvous hashing.
std::uint64_t rendezvous_weight(std::string const& key,
                                std::string const& choice);

} // namespace tanagerlead::cell
