#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Decides where requests may go, in which order, and how often they are sent.
/// This library does no I/O: it takes events with a time and returns actions.
namespace tanagerlead::routing
{

/// Whether a request may run more than once.
enum class route_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    /// Server-sent events; not retried unless resumable.
    stream,
};

/// One pool of a split route.
struct weighted_pool
{
    base::pool_id pool_;
    std::uint32_t weight_ = 1;
};

/// Where the requests of one host and path prefix go.
struct route
{
    std::string name_;
    std::string host_;
    /// Starts and ends with a slash.
    std::string prefix_;
    route_kind kind_ = route_kind::non_idempotent;
    /// Never empty; has several pools when the route is split.
    std::vector<weighted_pool> pools_;
    /// Longest time to wait for the whole answer.
    base::duration timeout_{};
    /// An answer, or the first event of a stream, that takes no longer than
    /// this counts as on time.
    base::duration objective_{};
    /// Longest pause between events that counts as on time; zero: no limit.
    base::duration gap_objective_{};
    /// Rank 0 is served first.
    int rank_ = 0;
    /// Number of targets that one request may be sent to.
    int max_attempts_ = 1;
    bool allows_anonymous_ = false;
    bool resumable_ = false;

    /// Whether running a request twice does no harm.
    bool is_retryable() const
    {
        return kind_ == route_kind::idempotent ||
               (kind_ == route_kind::stream && resumable_);
    }

    /// Callers leave a stream, also before its first event, after a pause of
    /// this length.
    base::duration caller_patience() const
    {
        constexpr base::duration least = std::chrono::seconds{2};
        return std::max({least, 4 * objective_, 8 * gap_objective_});
    }

    bool has_pool(base::pool_id const& pool) const
    {
        return std::any_of(pools_.begin(), pools_.end(),
                           [&](weighted_pool const& p)
                           { return p.pool_ == pool; });
    }
};

/// A workspace's keys, rank and quota.
struct workspace
{
    base::workspace_id id_;
    std::vector<std::string> keys_;
    /// Takes precedence over the route's rank, which orders the requests of
    /// workspaces that have the same rank.
    std::optional<int> rank_;
    /// Units a second over the whole fleet; zero: no limit.
    double rate_ = 0;
    /// Units that may be spent at once.
    double burst_ = 0;
    /// Units are tokens if set, otherwise requests.
    bool counts_tokens_ = false;
    /// Tokens assumed for a request that states none.
    double default_tokens_ = 1;
};

/// Capacity of the targets of a pool.
struct pool_limits
{
    base::pool_id pool_;
    /// Tokens of prompts and answers that fit into the memory of one target;
    /// zero: no limit.
    base::token_count kv_capacity_tokens_ = 0;
};

/// Limits on the requests of callers.
struct caller_limits
{
    std::size_t max_header_bytes_ = 16384;
    std::size_t max_body_bytes_ = 4194304;
    base::duration header_timeout_ = std::chrono::seconds{3};
    base::duration idle_timeout_ = std::chrono::seconds{15};
};

} // namespace tanagerlead::routing
