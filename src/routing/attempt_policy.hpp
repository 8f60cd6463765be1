#pragma once

#include "src/routing/route.hpp"

namespace tanagerlead::routing
{

/// How sending a request to a target ended without its whole answer.
enum class attempt_failure : std::uint8_t
{
    /// No connection; nothing was sent.
    not_connected,
    /// The target says that it did not run the request.
    rejected,
    /// Another target has the address; it did not run the request.
    wrong_target,
    /// An error of the target's own, which counts as run.
    target_error,
    /// The connection ended, or carried no proper answer.
    broken,
    /// Nothing came for longer than the route allows.
    silent,
};

/// What became of a request so far.
struct call_progress
{
    /// Targets that it was sent to.
    int attempts_ = 0;
    /// Connects that failed.
    int failed_connects_ = 0;
    /// A target may have begun to run it.
    bool may_have_run_ = false;
    /// Part of the answer went to the caller.
    bool answer_begun_ = false;
};

/// What to do next.
enum class attempt_verdict : std::uint8_t
{
    /// Another target, as a first try: nothing was sent so far.
    again_free,
    /// Another target; draws on the retry budget.
    again,
    /// The caller learns that it has not run.
    refuse,
    /// The target's own error goes to the caller.
    pass_on,
    /// The caller learns that it may have run.
    fail,
    /// The answer begun is cut off.
    cut,
};

/// Connects that may fail before a request is refused.
constexpr int most_failed_connects = 3;

/// Decides after a failure that `progress` already counts. A verdict `again`
/// holds if the budget allows it, `without_retry` says what else.
attempt_verdict decide(attempt_failure failure, call_progress const& progress,
                       route const& where);
attempt_verdict without_retry(attempt_failure failure,
                              call_progress const& progress);

} // namespace tanagerlead::routing
