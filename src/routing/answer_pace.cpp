#include "src/routing/answer_pace.hpp"

namespace tanagerlead::routing
{

using namespace std::chrono_literals;

namespace
{

/// Events of an attempt that tell the pace of its target.
constexpr int min_events = 16;
/// A target that is faster by less than this does not make up for the time in
/// which it reads the prompt.
constexpr double max_relative_event_time = 0.6;
constexpr base::duration min_time_left = 500ms;
/// Part of the time left in which an answer that stays is expected to end.
constexpr double usable_time_fraction = 0.5;

} // namespace

// Nobody knows how long an answer will be. Their lengths have a heavy tail, so
// that one which has lasted for some events is expected to last for about as
// many again. The short ones end before this moves them.
std::optional<base::duration>
max_event_time_elsewhere(answer_progress const& answer)
{
    if (answer.attempt_events_ < min_events ||
        answer.time_left_ < min_time_left)
    {
        return std::nullopt;
    }
    auto const event_time =
        base::seconds(answer.attempt_time_) / (answer.attempt_events_ - 1);
    if (answer.events_ * event_time <=
        usable_time_fraction * base::seconds(answer.time_left_))
    {
        return std::nullopt;
    }
    return base::from_seconds(max_relative_event_time * event_time);
}

} // namespace tanagerlead::routing
