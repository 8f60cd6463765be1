#pragma once

#include "src/base/units.hpp"

#include <optional>

namespace tanagerlead::routing
{

/// How far an answer has come that is streamed to its caller.
struct answer_progress
{
    /// Events that the caller got in this answer, over all attempts.
    int events_ = 0;
    /// Events of the current attempt, and the time from the first to the last.
    int attempt_events_ = 0;
    base::duration attempt_time_{};
    /// Until the deadline of the request.
    base::duration time_left_{};
};

/// The longest time for one event that a target may take to be worth a move of
/// the answer. Unset if the answer should stay where it is: it is expected to
/// end in time, or there is no time for a move.
std::optional<base::duration>
max_event_time_elsewhere(answer_progress const& answer);

} // namespace tanagerlead::routing
