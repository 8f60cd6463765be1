#include "src/http/router.hpp"

#include "src/http/url.hpp"

#include <absl/strings/str_split.h>

namespace tanagerlead::http
{

namespace
{

constexpr std::string_view any_part = "{}";
constexpr std::string_view any_rest = "**";

using parts = std::vector<std::string>;

/// The open parts when the path fits.
std::optional<parts> match(parts const& pattern, parts const& path)
{
    parts captures;
    for (std::size_t i = 0; i < pattern.size(); ++i)
    {
        if (pattern[i] == any_rest)
        {
            return captures;
        }
        auto const is_open = pattern[i] == any_part;
        if (i >= path.size() ||
            (is_open ? path[i].empty() : path[i] != pattern[i]))
        {
            return std::nullopt;
        }
        if (is_open)
        {
            captures.push_back(path[i]);
        }
    }
    return path.size() == pattern.size() ? std::optional{captures}
                                         : std::nullopt;
}

} // namespace

void router::add(std::string method, std::string_view pattern, handler serve,
                 runs_on where)
{
    // Behind the slash that every path begins with.
    std::string const path{pattern.substr(1)};
    routes_.push_back({std::move(method), absl::StrSplit(path, '/'),
                       std::move(serve), where});
}

router::route const* router::find(http_call& call) const
{
    auto const path = path_segments(call.target_);
    if (!path)
    {
        return nullptr;
    }
    std::string const method = call.method_ == "HEAD" ? "GET" : call.method_;
    for (auto const& each : routes_)
    {
        if (each.method_ != method)
        {
            continue;
        }
        if (auto captures = match(each.pattern_, *path))
        {
            call.captures_ = std::move(*captures);
            return &each;
        }
    }
    return nullptr;
}

} // namespace tanagerlead::http
