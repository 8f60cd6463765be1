#pragma once

#include "src/config/source.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace tanagerlead::http
{

/// A workspace in the configuration it was found in, which it keeps alive.
struct authenticated
{
    config::snapshot configuration_;
    /// Null when the key belongs to no workspace.
    config::workspace_config const* workspace_ = nullptr;
};

/// Finds the workspace of a bearer key. Any thread.
class authenticator
{
public:
    explicit authenticator(config::source& source) : source_{source} {}

    /// Takes the value of the `Authorization` header.
    authenticated find(std::string_view authorization);

private:
    /// Positions of workspaces by hash of key, for one configuration.
    struct key_index
    {
        config::snapshot configuration_;
        absl::flat_hash_map<std::string, std::size_t> by_hash_;
    };

    std::shared_ptr<key_index const> current_index();

    config::source& source_;
    std::mutex mutex_;
    std::shared_ptr<key_index const> index_;
};

/// The key in "Bearer KEY"; empty when it is not that.
std::string_view bearer_key(std::string_view authorization);

} // namespace tanagerlead::http
