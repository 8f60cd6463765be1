#pragma once

#include "src/entry/protocol.hpp"
#include "src/entry/settings.hpp"
#include "src/routing/peer_table.hpp"

namespace tanagerlead::entry
{

/// Tells callers which daemons to connect to: those that serve in their data
/// centre, any ready ones there if none does, or all if it has none.
class daemon_directory
{
public:
    /// Whether this daemon takes requests, and its role.
    struct own_status
    {
        bool is_ready_ = false;
        routing::daemon_role role_ = routing::daemon_role::serving;
        /// It reaches no target.
        bool is_cut_off_ = false;
    };

    /// All arguments must outlive the directory.
    daemon_directory(settings const& s, protocol const& wire,
                     routing::peer_table const& peers)
        : settings_{s}, protocol_{wire}, peers_{peers}
    {
    }

    /// `target` is the path and query of the request. Answers 404 for another
    /// path and 503 if no daemon is ready.
    net::http_response answer(std::string const& target, own_status const& own,
                              base::time_point now) const;

private:
    std::vector<base::address>
    find_addresses(base::data_centre_id const& data_centre,
                   own_status const& own, base::time_point now) const;
    std::vector<base::address>
    addresses_of(std::vector<routing::peer_ip> const& peers) const;

    settings const& settings_;
    protocol const& protocol_;
    routing::peer_table const& peers_;
};

} // namespace tanagerlead::entry
