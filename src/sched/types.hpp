#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <cstdint>
#include <variant>
#include <vector>

/// Decisions on waiting requests. No I/O here: events with a time in, actions
/// out.
namespace tanagerlead::sched
{

/// Hashes of the prompt's leading blocks, each covering all before it, so
/// equal entries mean equal prefixes.
using prefix_hashes = std::vector<std::uint64_t>;

/// Tokens covered by one entry of `prefix_hashes`.
constexpr base::token_count prefix_block_tokens = 64;

/// What a scheduler needs to know of a waiting request.
struct work_item
{
    base::request_id request_;
    /// Daemon that holds the request.
    base::daemon_id entry_;
    base::workspace_id workspace_;
    base::pool_id pool_;
    base::tier tier_{};
    base::token_count prompt_tokens_ = 0;
    /// Most tokens the answer may have.
    base::token_count max_output_tokens_ = 0;
    prefix_hashes prefix_;
    /// Of workspace, pool and body; equal for copies of one request.
    std::uint64_t fingerprint_ = 0;
    base::time_point received_;
    /// Latest useful end; `time_point::max()` when the caller gave none.
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
    /// It would not finish by its deadline.
    deadline,
    /// The workspace has too many requests waiting.
    workspace_limit,
    /// Copies of it ended the targets that ran it.
    quarantined,
    /// No target may take it.
    no_target,
    /// The daemon is leaving.
    draining,
    /// The daemon is cut off from its peers.
    isolated,
    /// What must last could not be written.
    store_unavailable,
};

char const* to_string(refusal_cause cause);

/// Final: the request was not dispatched and will not be.
struct refusal
{
    base::request_id request_;
    base::daemon_id entry_;
    refusal_cause cause_{};
    /// When trying again makes sense, jittered.
    base::duration retry_after_{};
};

enum class dispatch_event : std::uint8_t
{
    /// Bytes may have reached the target.
    started,
    first_token,
    /// The answer is complete.
    finished,
    /// The caller went away and the target was told to stop.
    cancelled,
    /// The connection could not be opened; nothing was sent.
    not_sent,
    /// The target answered with an error of its own.
    target_error,
    /// The target died, or went silent for good, after the start.
    target_lost,
    /// The grant came too late and was not used.
    declined,
};

/// What became of a granted request.
struct dispatch_report
{
    base::request_id request_;
    base::target_id target_;
    dispatch_event event_{};
    /// Time since the dispatch.
    base::duration elapsed_{};
    base::token_count output_tokens_ = 0;
    /// Prompt tokens the target took from its cache, as it says.
    base::token_count cached_tokens_ = 0;
};

/// A target's own report of its load; old when it arrives.
struct target_load
{
    base::target_id target_;
    std::int32_t running_ = 0;
    std::int32_t waiting_ = 0;
    /// Since the target measured it, as far as known.
    base::duration age_{};
};

using action = std::variant<grant, refusal>;

} // namespace tanagerlead::sched
