#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Decisions on routed requests: where they may go, in which order, how often.
/// No I/O here: events with a time in, actions out.
namespace tanagerlead::routing
{

/// What may be repeated.
enum class route_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    /// Server-sent events; not to be repeated unless resumable.
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
    /// Begins and ends with a slash.
    std::string prefix_;
    route_kind kind_ = route_kind::non_idempotent;
    /// Never empty; more than one when the route is split.
    std::vector<weighted_pool> pools_;
    /// Longest time a request is kept waiting for its whole answer.
    base::duration timeout_{};
    /// Time to the answer, or to the first event, that counts as on time.
    base::duration objective_{};
    /// Longest pause between events that counts as on time; zero: none.
    base::duration gap_objective_{};
    /// 0 goes first.
    int rank_ = 0;
    /// Targets one request may be sent to.
    int max_attempts_ = 1;
    bool allows_anonymous_ = false;
    bool resumable_ = false;

    /// A second run does no harm.
    bool is_retryable() const
    {
        return kind_ == route_kind::idempotent ||
               (kind_ == route_kind::stream && resumable_);
    }
};

/// A workspace's keys and its part of the fleet.
struct workspace
{
    base::workspace_id id_;
    std::vector<std::string> keys_;
    /// Goes before the route's rank, which orders the requests of workspaces
    /// of one rank.
    std::optional<int> rank_;
    /// Units a second over the whole fleet; zero: no limit.
    double rate_ = 0;
    /// Units that may be spent at once.
    double burst_ = 0;
    /// Units are tokens; otherwise requests.
    bool counts_tokens_ = false;
    /// Tokens of a request that names none.
    double default_tokens_ = 1;
};

/// What the targets of a pool hold.
struct pool_limits
{
    base::pool_id pool_;
    /// Tokens of prompts and answers in the memory of one target; zero: not
    /// limited.
    base::token_count kv_capacity_tokens_ = 0;
};

/// What callers may send.
struct caller_limits
{
    std::size_t max_header_bytes_ = 16384;
    std::size_t max_body_bytes_ = 4194304;
    base::duration header_timeout_ = std::chrono::seconds{3};
    base::duration idle_timeout_ = std::chrono::seconds{15};
};

} // namespace tanagerlead::routing
