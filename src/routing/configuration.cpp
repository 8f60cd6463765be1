#include "src/routing/configuration.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace tanagerlead::routing
{

configuration::configuration(base::config_version version,
                             std::vector<route> routes,
                             std::vector<workspace> workspaces,
                             caller_limits limits)
    : version_{version}, routes_{std::move(routes)},
      workspaces_{std::move(workspaces)}, limits_{limits}
{
    std::stable_sort(routes_.begin(), routes_.end(),
                     [](route const& a, route const& b)
                     {
                         return std::tuple(std::string_view{a.host_},
                                           b.prefix_.size()) <
                                std::tuple(std::string_view{b.host_},
                                           a.prefix_.size());
                     });
    for (std::size_t i = 0; i < workspaces_.size(); ++i)
    {
        for (auto const& key : workspaces_[i].keys_)
        {
            keys_.push_back({key, i});
        }
    }
    std::sort(keys_.begin(), keys_.end(),
              [](key_entry const& a, key_entry const& b)
              { return a.key_ < b.key_; });
}

route const* configuration::find_route(std::string_view host,
                                       std::string_view path) const
{
    auto const first = std::lower_bound(
        routes_.begin(), routes_.end(), host,
        [](route const& r, std::string_view h) { return r.host_ < h; });
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
    auto const at = std::lower_bound(
        keys_.begin(), keys_.end(), key,
        [](key_entry const& e, std::string_view k) { return e.key_ < k; });
    if (at == keys_.end() || at->key_ != key)
    {
        return nullptr;
    }
    return &workspaces_[at->workspace_];
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
    out.verdict_ = out.workspace_ == nullptr && !open ? lookup_verdict::no_key
                                                      : lookup_verdict::found;
    return out;
}

} // namespace tanagerlead::routing
