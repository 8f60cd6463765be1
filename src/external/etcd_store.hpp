#pragma once

#include "src/base/address.hpp"
#include "src/external/http_client.hpp"
#include "src/external/key_value.hpp"

#include <atomic>
#include <vector>

namespace tanagerlead::external
{

struct etcd_settings
{
    /// Tried in order, beginning with the one that answered last.
    std::vector<base::address> endpoints_;
    http_timeouts timeouts_;
    /// A watch that is silent for longer is opened anew, for its connection
    /// may have gone dead unnoticed.
    base::duration watch_silence_ = std::chrono::seconds{30};
    /// Pause before a watch is opened anew; doubles up to the longest.
    base::duration first_backoff_ = std::chrono::milliseconds{100};
    base::duration longest_backoff_ = std::chrono::seconds{5};
};

/// `key_value_store` over the JSON gateway of etcd v3.
class etcd_store final : public key_value_store
{
public:
    explicit etcd_store(etcd_settings settings);

    base::result<key_value_entry> get(std::string const& key) override;
    base::result<std::vector<key_value_entry>>
    list(std::string const& prefix) override;
    base::result<commit_outcome>
    commit(std::vector<key_value_write> const& writes) override;
    /// Null without endpoints.
    std::unique_ptr<key_value_watch>
    watch(std::string const& key,
          std::function<void(key_value_entry const&)> changed) override;

private:
    struct call;

    base::result<std::string> exchange(call const& request);
    base::result<std::vector<key_value_entry>> range(std::string const& key,
                                                     std::string const& end);

    etcd_settings settings_;
    /// Index of the endpoint that answered last.
    std::atomic<std::size_t> preferred_{0};
};

} // namespace tanagerlead::external
