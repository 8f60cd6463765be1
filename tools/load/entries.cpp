#include "tools/load/entries.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace tanagerlead::load
{

namespace
{
constexpr auto ask_timeout = std::chrono::seconds{1};
constexpr auto default_keep_ms = 1000;
} // namespace

entry_cache::entry_cache(std::vector<base::address> known, bool direct)
    : known_{std::move(known)}, direct_{direct}
{
}

std::vector<base::address>
entry_cache::entries_for(workspace_load const& workspace)
{
    std::lock_guard const lock{mutex_};
    if (direct_)
    {
        auto const next = next_direct_++ % known_.size();
        return {known_[next]};
    }
    auto& kept = kept_[workspace.name_];
    if (clock_.now() < kept.until_)
    {
        return kept.entries_;
    }
    for (auto const& where : known_)
    {
        if (ask(where, workspace, kept))
        {
            return kept.entries_;
        }
    }
    return kept.entries_.empty() ? known_ : kept.entries_;
}

bool entry_cache::ask(base::address const& where,
                      workspace_load const& workspace,
                      kept_answer& answer) const
{
    httplib::Client client{where.ip_, where.port_};
    client.set_connection_timeout(ask_timeout);
    client.set_read_timeout(ask_timeout);
    auto const got =
        client.Get("/v1/entries?model=" + workspace.pool_,
                   {{"Authorization", "Bearer " + workspace.key_}});
    if (!got || got->status != 200)
    {
        return false;
    }
    auto const json = nlohmann::json::parse(got->body, nullptr, false);
    if (!json.is_object() || !json.contains("entries"))
    {
        return false;
    }
    std::vector<base::address> entries;
    for (auto const& text : json["entries"])
    {
        if (auto const one = base::parse_address(text.get<std::string>()))
        {
            entries.push_back(one.value());
        }
    }
    auto const keep = json.value("keep_ms", default_keep_ms);
    answer.until_ = clock_.now() + std::chrono::milliseconds{keep};
    answer.entries_ = std::move(entries);
    return !answer.entries_.empty();
}

} // namespace tanagerlead::load
