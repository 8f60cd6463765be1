#include "src/http/authenticator.hpp"

#include "src/config/digest.hpp"

namespace tanagerlead::http
{

std::string_view bearer_key(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
    {
        return {};
    }
    return authorization.substr(scheme.size());
}

std::shared_ptr<authenticator::key_index const> authenticator::current_index()
{
    auto const configuration = source_.current();
    std::lock_guard const lock{mutex_};
    if (index_ && index_->configuration_ == configuration)
    {
        return index_;
    }
    auto fresh = std::make_shared<key_index>();
    fresh->configuration_ = configuration;
    auto const& workspaces = configuration->workspaces_;
    for (std::size_t i = 0; i < workspaces.size(); ++i)
    {
        for (auto const& hash : workspaces[i].key_hashes_)
        {
            fresh->by_hash_.emplace(hash, i);
        }
    }
    index_ = std::move(fresh);
    return index_;
}

authenticated authenticator::find(std::string_view authorization)
{
    auto const index = current_index();
    authenticated result{index->configuration_, nullptr};
    auto const key = bearer_key(authorization);
    if (key.empty())
    {
        return result;
    }
    auto const hash = config::sha256_hex(key);
    auto const found = index->by_hash_.find(hash);
    if (found != index->by_hash_.end() &&
        config::equal_in_constant_time(found->first, hash))
    {
        result.workspace_ = &index->configuration_->workspaces_[found->second];
    }
    return result;
}

} // namespace tanagerlead::http
