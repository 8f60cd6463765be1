#pragma once

#include "src/routing/prompt_part.hpp"
#include "src/routing/stream_origin.hpp"
#include "src/sched/types.hpp"

#include <optional>
#include <vector>

namespace tanagerlead::routing
{

/// A request that needs a target.
struct pending_call
{
    sched::work_item work_;
    /// An answer, or the first event of a stream, that takes no longer than
    /// this counts as on time.
    base::duration objective_{};
    /// Targets that the request was sent to. It is not sent to any of them
    /// again.
    std::vector<base::target_id> tried_;
    /// Identifies the part of the prompt that later requests may share; 0:
    /// none.
    std::uint64_t affinity_key_ = 0;
    /// Empty if the caller named no parts.
    sized_prompt_parts prompt_;
    /// Its route has the first rank.
    bool urgent_ = false;
    /// The caller has received part of the answer, which is lost if the request
    /// does not continue.
    bool answer_started_ = false;
    /// Only targets of this version may run the request, since it goes on with
    /// a stream of theirs.
    std::optional<version_digest> version_;
    /// Only targets known to take no longer for one event may run the request.
    std::optional<base::duration> max_event_time_;
};

/// How an attempt at a target ended.
enum class attempt_outcome : std::uint8_t
{
    finished,
    /// The caller left, or the deadline passed.
    cancelled,
    /// The connection could not be opened.
    not_connected,
    rejected,
    /// Another target has its address, so this one is gone.
    displaced,
    /// The target answered with an error.
    failed,
    /// The target stalled, or its connection closed. It may still run the
    /// request.
    lost,
};

} // namespace tanagerlead::routing
