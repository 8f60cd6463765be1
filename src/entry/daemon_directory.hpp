#pragma once

#include "src/entry/protocol.hpp"
#include "src/entry/settings.hpp"
#include "src/routing/peer_board.hpp"

namespace tanagerlead::entry
{

/// Tells callers which daemons to connect to: those of their data centre, or
/// any when it has none.
class daemon_directory
{
public:
    /// All outlive it.
    daemon_directory(settings const& s, protocol const& speech,
                     routing::peer_board const& peers)
        : settings_{s}, protocol_{speech}, peers_{peers}
    {
    }

    /// `target` is the question's path and query; `is_ready`: this daemon may
    /// be named.
    net::http_response answer(std::string const& target, bool is_ready,
                              base::time_point now) const;

private:
    std::vector<base::address> addresses(base::data_centre_id const& near,
                                         bool is_ready,
                                         base::time_point now) const;
    std::vector<base::address> others(std::optional<routing::id_digest> where,
                                      base::time_point now) const;

    settings const& settings_;
    protocol const& protocol_;
    routing::peer_board const& peers_;
};

} // namespace tanagerlead::entry
