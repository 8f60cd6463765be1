#pragma once

#include "src/base/address.hpp"
#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <memory>
#include <string>
#include <vector>

/// The operators' configuration and the daemon's own settings.
namespace tanagerlead::config
{

/// A class of requests.
struct tier_config
{
    base::tier tier_{};
    std::string name_;
    /// Longest time a request of this tier waits in the queue.
    base::duration longest_wait_{};
};

struct workspace_config
{
    base::workspace_id id_;
    base::tier tier_{};
    /// SHA-256 of each accepted bearer key, 64 hexadecimal digits.
    std::vector<std::string> key_hashes_;
    /// Pools this workspace may use.
    std::vector<base::pool_id> pools_;
    /// Share within its tier, relative to others; positive.
    double weight_ = 1.0;
    /// Most requests waiting at one time.
    std::int64_t most_waiting_ = 0;
};

enum class pool_kind
{
    model,
    service,
};

struct pool_config
{
    base::pool_id id_;
    pool_kind kind_ = pool_kind::model;
};

struct target_config
{
    base::target_id id_;
    /// Pools this target serves; the first is the one its cell belongs to.
    std::vector<base::pool_id> pools_;
    base::address address_;
    base::data_centre_id data_centre_;
    /// Hardware generation; larger is newer.
    int generation_ = 0;
    /// Requests the target can run at one time.
    int slots_ = 1;
    /// Whether it refuses an order with an old fencing number.
    bool checks_fencing_ = false;
    /// An operator's drain: no new work.
    bool draining_ = false;
};

/// Data centres so close that one cell may span them.
struct data_centre_group
{
    std::string name_;
    std::vector<base::data_centre_id> data_centres_;
};

/// One accepted version. Immutable once published.
struct configuration
{
    base::config_version version_{};
    std::vector<tier_config> tiers_;
    std::vector<workspace_config> workspaces_;
    std::vector<pool_config> pools_;
    std::vector<target_config> targets_;
    std::vector<data_centre_group> groups_;
};

using snapshot = std::shared_ptr<configuration const>;

} // namespace tanagerlead::config
