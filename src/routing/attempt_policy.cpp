#include "src/routing/attempt_policy.hpp"

namespace tanagerlead::routing
{

attempt_verdict without_retry(attempt_failure failure,
                              call_progress const& progress)
{
    if (progress.answer_begun_)
    {
        return attempt_verdict::cut;
    }
    if (failure == attempt_failure::target_error)
    {
        return attempt_verdict::pass_on;
    }
    return progress.may_have_run_ ? attempt_verdict::fail
                                  : attempt_verdict::refuse;
}

attempt_verdict decide(attempt_failure failure, call_progress const& progress,
                       route const& where)
{
    auto const attempts_left = progress.attempts_ < where.most_attempts_;
    auto const ran_once = progress.may_have_run_ && !where.may_repeat();
    if (failure == attempt_failure::not_connected)
    {
        auto const more = progress.failed_connects_ < most_failed_connects;
        if (!more || ran_once || !attempts_left)
        {
            return without_retry(failure, progress);
        }
        return progress.attempts_ == 0 ? attempt_verdict::again_free
                                       : attempt_verdict::again;
    }
    auto const ends = ran_once || !attempts_left;
    return ends ? without_retry(failure, progress) : attempt_verdict::again;
}

} // namespace tanagerlead::routing
