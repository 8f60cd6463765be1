#include "src/routing/attempt_policy.hpp"

namespace tanagerlead::routing
{

retry_decision decide_without_retry(attempt_failure failure,
                                    call_progress const& progress)
{
    if (progress.answer_started_)
    {
        return retry_decision::truncate;
    }
    if (failure == attempt_failure::target_error)
    {
        return retry_decision::forward_error;
    }
    return progress.may_have_run_ ? retry_decision::fail
                                  : retry_decision::refuse;
}

retry_decision decide_retry(attempt_failure failure,
                            call_progress const& progress,
                            route const& route_rules)
{
    auto const attempts_left = progress.attempts_ < route_rules.max_attempts_;
    auto const ran_once = progress.may_have_run_ && !route_rules.is_retryable();
    if (failure == attempt_failure::not_connected)
    {
        auto const more = progress.failed_connects_ < max_failed_connects;
        if (!more || ran_once || !attempts_left)
        {
            return decide_without_retry(failure, progress);
        }
        return progress.attempts_ == 0 ? retry_decision::reconnect
                                       : retry_decision::retry;
    }
    auto const ends = ran_once || !attempts_left;
    return ends ? decide_without_retry(failure, progress)
                : retry_decision::retry;
}

} // namespace tanagerlead::routing
