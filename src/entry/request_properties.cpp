#include "src/entry/request_properties.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cctype>

namespace tanagerlead::entry
{

std::uint64_t fingerprint_of(net::http_request const& request,
                             base::workspace_id const& workspace)
{
    auto const mix = [](std::string const& text, std::uint64_t seed)
    {
        return XXH64(text.data(), text.size(), seed);
    };
    return mix(request.body_, mix(request.target_, mix(workspace.str(), 0)));
}

std::string host_of(net::header_list const& headers)
{
    auto name = headers.value("Host");
    name = name.substr(0, name.find(':'));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return name;
}

base::pool_id choose_pool(routing::route const& r, base::random_source& random)
{
    std::uint64_t sum = 0;
    for (auto const& p : r.pools_)
    {
        sum += p.weight_;
    }
    auto pick = sum == 0 ? 0 : random.below(sum);
    for (auto const& p : r.pools_)
    {
        if (pick < p.weight_)
        {
            return p.pool_;
        }
        pick -= p.weight_;
    }
    return r.pools_.front().pool_;
}

} // namespace tanagerlead::entry
