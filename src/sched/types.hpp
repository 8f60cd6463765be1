#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <cstdint>
#include <variant>
#include <vector>

/// Scheduling of waiting requests. This code does no I/O: it takes events with
/// their times and returns actions.
namespace tanagerlead::sched
{

/// Hashes of the prompt's leading blocks. Each hash also covers all blocks
/// before its own, so equal entries mean equal prefixes.
using prefix_hashes = std::vector<std::uint64_t>;

/// Tokens covered by one entry of `prefix_hashes`.
constexpr base::token_count prefix_block_tokens = 64;

/// The properties of a request that a scheduler uses.
struct work_item
{
    base::request_id request_;
    /// Daemon that holds the request.
    base::daemon_id entry_;
    base::workspace_id workspace_;
    base::pool_id pool_;
    base::tier tier_{};
    base::token_count prompt_tokens_ = 0;
    /// Upper bound on the tokens of the answer.
    base::token_count max_output_tokens_ = 0;
    prefix_hashes prefix_;
    /// Hash of workspace, pool and body; equal for copies of one request.
    std::uint64_t fingerprint_ = 0;
    base::time_point received_;
    /// Time by which the request must finish; `time_point::max()` if the caller
    /// gave no deadline.
    base::time_point deadline_ = base::time_point::max();
};

/// Permission to dispatch one request to one target.
struct grant
{
    base::request_id request_;
    base::daemon_id entry_;
    base::target_id target_;
};

enum class refusal_cause : std::uint8_t
{
    /// The queue is too long for the tier.
    overloaded,
    /// The request would not finish by its deadline.
    deadline,
    /// The workspace has too many requests waiting.
    workspace_limit,
    /// Targets that ran copies of the request were lost.
    quarantined,
    /// No target may run the request.
    no_target,
    /// The daemon is shutting down.
    draining,
    /// The daemon can't reach its peers.
    isolated,
    /// Durable state could not be written.
    store_unavailable,
};

char const* to_string(refusal_cause cause);

/// Final decision that a request is not dispatched.
struct refusal
{
    base::request_id request_;
    base::daemon_id entry_;
    refusal_cause cause_{};
    /// Time after which the caller should retry; includes random jitter.
    base::duration retry_after_{};
};

enum class dispatch_event : std::uint8_t
{
    /// Bytes may have reached the target.
    started,
    first_token,
    /// The answer is complete.
    finished,
    /// The caller disconnected and the target was told to stop.
    cancelled,
    /// The connection could not be opened; nothing was sent.
    not_sent,
    /// The target answered with an error.
    target_error,
    /// The target failed or stopped responding after the start.
    target_lost,
    /// The grant arrived too late and was not used.
    declined,
};

/// Progress or outcome of a granted request.
struct dispatch_report
{
    base::request_id request_;
    base::target_id target_;
    dispatch_event event_{};
    /// Time since the dispatch.
    base::duration elapsed_{};
    base::token_count output_tokens_ = 0;
    /// Prompt tokens that the target reports as read from its cache.
    base::token_count cached_tokens_ = 0;
};

/// A target's report of its own load. It is already `age_` old on arrival.
struct target_load
{
    base::target_id target_;
    std::int32_t running_ = 0;
    std::int32_t waiting_ = 0;
    /// Time since the target measured the load, as far as known.
    base::duration age_{};
};

using action = std::variant<grant, refusal>;

} // namespace tanagerlead::sched
