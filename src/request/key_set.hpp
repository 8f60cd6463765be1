#pragma once

#include "src/base/ids.hpp"

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <utility>

namespace tanagerlead::request
{

/// Idempotency keys, each stored as a hash of 128 bits of workspace and key.
/// Never forgets by itself: once it has been full it takes no further key for
/// good, so that what was decided elsewhere meanwhile stays so. Any thread.
class key_set
{
public:
    enum class insertion
    {
        added,
        present,
        full,
    };

    explicit key_set(std::size_t most_keys) : most_keys_{most_keys} {}

    insertion insert(base::workspace_id const& workspace,
                     std::string const& key);
    /// True when it was there.
    bool erase(base::workspace_id const& workspace, std::string const& key);
    bool full() const;

private:
    using digest = std::pair<std::uint64_t, std::uint64_t>;

    static digest digest_of(base::workspace_id const& workspace,
                            std::string const& key);

    std::size_t const most_keys_;
    mutable std::mutex mutex_;
    absl::flat_hash_set<digest> keys_;
    bool was_full_ = false;
};

} // namespace tanagerlead::request
