#pragma once

#include "src/routing/route.hpp"

#include <memory>
#include <string_view>

namespace tanagerlead::routing
{

/// Result of looking up the route and workspace of a request.
enum class lookup_status : std::uint8_t
{
    found,
    no_route,
    no_key,
};

struct lookup_result
{
    lookup_status status_ = lookup_status::no_route;
    /// Null unless found.
    route const* route_ = nullptr;
    /// Null for an anonymous caller.
    workspace const* workspace_ = nullptr;
    base::tier tier_{};
    /// Position of the route's rank among the ranks in use: 0 for the first, 1
    /// for the last.
    double relative_rank_ = 0;
};

/// One version of the routes and workspaces. Immutable once published.
class configuration
{
public:
    configuration(base::config_version version, std::vector<route> routes,
                  std::vector<workspace> workspaces, caller_limits limits,
                  std::vector<pool_limits> pools = {});

    base::config_version version() const { return version_; }
    caller_limits const& limits() const { return limits_; }
    std::vector<route> const& routes() const { return routes_; }
    std::vector<workspace> const& workspaces() const { return workspaces_; }

    std::vector<pool_limits> const& pools() const { return pools_; }
    /// Whether a route has streams that callers may take up.
    bool has_resumable_streams() const;

    /// The route with the longest prefix of `path` at `host`, and the
    /// workspace that holds `key`. `path` may end in a query.
    lookup_result find(std::string_view host, std::string_view path,
                       std::string_view key) const;

private:
    struct key_entry
    {
        std::string key_;
        std::size_t workspace_ = 0;
    };

    route const* find_route(std::string_view host, std::string_view path) const;
    workspace const* find_workspace(std::string_view key) const;
    base::tier tier_of(route const& r, workspace const* w) const;

    base::config_version version_;
    /// Sorted by host, then longest prefix first.
    std::vector<route> routes_;
    std::vector<workspace> workspaces_;
    /// Sorted by key.
    std::vector<key_entry> keys_;
    /// Ranks in use, ascending.
    std::vector<int> route_ranks_;
    std::vector<int> workspace_ranks_;
    caller_limits limits_;
    std::vector<pool_limits> pools_;
};

using configuration_ptr = std::shared_ptr<configuration const>;

} // namespace tanagerlead::routing
