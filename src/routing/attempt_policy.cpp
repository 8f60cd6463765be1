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

namespace
{

// A target that rejects a request has not run it. An answer that has started is
// worth more attempts than a request that its caller can send again.
bool has_attempts_left(call_progress const& progress, route const& route_rules)
{
    if (!progress.answer_started_)
    {
        return progress.attempts_ < route_rules.max_attempts_;
    }
    return progress.attempts_ - progress.rejections_ <
               route_rules.max_attempts_ &&
           progress.rejections_ < max_rejected_resumptions;
}

} // namespace

retry_decision decide_retry(attempt_failure failure,
                            call_progress const& progress,
                            route const& route_rules)
{
    auto const attempts_left = has_attempts_left(progress, route_rules);
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
