#include "src/request/key_set.hpp"

#include <xxhash.h>

namespace tanagerlead::request
{

key_set::digest key_set::digest_of(base::workspace_id const& workspace,
                                   std::string const& key)
{
    auto const text = workspace.str() + '\0' + key;
    auto const hash = XXH3_128bits(text.data(), text.size());
    return {hash.low64, hash.high64};
}

key_set::insertion key_set::insert(base::workspace_id const& workspace,
                                   std::string const& key)
{
    auto const wanted = digest_of(workspace, key);
    std::lock_guard const lock{mutex_};
    if (keys_.contains(wanted))
    {
        return insertion::present;
    }
    was_full_ = was_full_ || keys_.size() >= most_keys_;
    if (was_full_)
    {
        return insertion::full;
    }
    keys_.insert(wanted);
    return insertion::added;
}

bool key_set::erase(base::workspace_id const& workspace, std::string const& key)
{
    auto const wanted = digest_of(workspace, key);
    std::lock_guard const lock{mutex_};
    return keys_.erase(wanted) > 0;
}

bool key_set::full() const
{
    std::lock_guard const lock{mutex_};
    return was_full_ || keys_.size() >= most_keys_;
}

} // namespace tanagerlead::request
