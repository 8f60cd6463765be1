#include "src/routing/configuration.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace tanagerlead::routing
{

namespace
{

std::vector<int> sorted_unique(std::vector<int> ranks)
{
    std::sort(ranks.begin(), ranks.end());
    ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
    return ranks;
}

std::size_t rank_index(std::vector<int> const& ranks, int rank)
{
    return static_cast<std::size_t>(
        std::lower_bound(ranks.begin(), ranks.end(), rank) - ranks.begin());
}

} // namespace

configuration::configuration(base::config_version version,
                             std::vector<route> routes,
                             std::vector<workspace> workspaces,
                             caller_limits limits,
                             std::vector<pool_limits> pools)
    : version_{version}, routes_{std::move(routes)},
      workspaces_{std::move(workspaces)}, limits_{limits}, pools_{
                                                               std::move(pools)}
{
    std::stable_sort(
        routes_.begin(), routes_.end(),
        [](route const& a, route const& b)
        {
            return std::tuple(std::string_view{a.host_}, b.prefix_.size()) <
                   std::tuple(std::string_view{b.host_}, a.prefix_.size());
        });
    std::vector<int> route_ranks;
    for (auto const& r : routes_)
    {
        route_ranks.push_back(r.rank_);
    }
    std::vector<int> workspace_ranks;
    for (std::size_t i = 0; i < workspaces_.size(); ++i)
    {
        if (workspaces_[i].rank_)
        {
            workspace_ranks.push_back(*workspaces_[i].rank_);
        }
        for (auto const& key : workspaces_[i].keys_)
        {
            keys_.push_back({key, i});
        }
    }
    std::sort(keys_.begin(), keys_.end(),
              [](key_entry const& a, key_entry const& b)
              { return a.key_ < b.key_; });
    route_ranks_ = sorted_unique(std::move(route_ranks));
    workspace_ranks_ = sorted_unique(std::move(workspace_ranks));
}

// Orders by the workspace's rank, then by the route's. Only ranks in use count,
// and positions beyond the last tier share it.
base::tier configuration::tier_of(route const& r, workspace const* w) const
{
    auto const rank = w != nullptr ? w->rank_.value_or(r.rank_) : r.rank_;
    auto const tier_index =
        rank_index(workspace_ranks_, rank) * route_ranks_.size() +
        rank_index(route_ranks_, r.rank_);
    return base::tier{
        static_cast<std::uint8_t>(std::min(tier_index, base::max_tiers - 1))};
}

route const* configuration::find_route(std::string_view host,
                                       std::string_view path) const
{
    auto const first = std::lower_bound(routes_.begin(), routes_.end(), host,
                                        [](route const& r, std::string_view h)
                                        { return r.host_ < h; });
    for (auto at = first; at != routes_.end() && at->host_ == host; ++at)
    {
        if (path.starts_with(at->prefix_))
        {
            return &*at;
        }
    }
    return nullptr;
}

workspace const* configuration::find_workspace(std::string_view key) const
{
    auto const at = std::lower_bound(keys_.begin(), keys_.end(), key,
                                     [](key_entry const& e, std::string_view k)
                                     { return e.key_ < k; });
    if (at == keys_.end() || at->key_ != key)
    {
        return nullptr;
    }
    return &workspaces_[at->workspace_];
}

bool configuration::has_resumable_streams() const
{
    return std::any_of(routes_.begin(), routes_.end(),
                       [](route const& r) {
                           return r.kind_ == route_kind::stream && r.resumable_;
                       });
}

lookup_result configuration::find(std::string_view host, std::string_view path,
                                  std::string_view key) const
{
    lookup_result out;
    out.route_ = find_route(host, path.substr(0, path.find('?')));
    if (out.route_ == nullptr)
    {
        return out;
    }
    assert(!out.route_->pools_.empty());
    out.workspace_ = key.empty() ? nullptr : find_workspace(key);
    auto const open = out.route_->allows_anonymous_ || workspaces_.empty();
    out.tier_ = tier_of(*out.route_, out.workspace_);
    if (route_ranks_.size() > 1)
    {
        out.relative_rank_ =
            static_cast<double>(rank_index(route_ranks_, out.route_->rank_)) /
            static_cast<double>(route_ranks_.size() - 1);
    }
    out.status_ = out.workspace_ == nullptr && !open ? lookup_status::no_key
                                                     : lookup_status::found;
    return out;
}

} // namespace tanagerlead::routing
