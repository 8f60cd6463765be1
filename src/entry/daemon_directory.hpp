#pragma once

#include "src/entry/protocol.hpp"
#include "src/entry/settings.hpp"
#include "src/routing/peer_table.hpp"

namespace tanagerlead::entry
{

/// Tells callers which daemons to connect to: those of their data centre, or
/// all if that data centre has none.
class daemon_directory
{
public:
    /// All arguments must outlive the directory.
    daemon_directory(settings const& s, protocol const& wire,
                     routing::peer_table const& peers)
        : settings_{s}, protocol_{wire}, peers_{peers}
    {
    }

    /// `target` is the path and query of the request. `is_ready` says whether
    /// this daemon may be listed. Answers 404 for another path and 503 if no
    /// daemon is ready.
    net::http_response answer(std::string const& target, bool is_ready,
                              base::time_point now) const;

private:
    std::vector<base::address>
    find_addresses(base::data_centre_id const& data_centre, bool is_ready,
                   base::time_point now) const;
    std::vector<base::address>
    peer_addresses(std::optional<routing::id_digest> where,
                   base::time_point now) const;

    settings const& settings_;
    protocol const& protocol_;
    routing::peer_table const& peers_;
};

} // namespace tanagerlead::entry
