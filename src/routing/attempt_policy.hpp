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
    stalled,
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
    bool answer_started_ = false;
};

/// What to do next.
enum class retry_decision : std::uint8_t
{
    /// Another target, as a first try: nothing was sent so far.
    reconnect,
    /// Another target; draws on the retry budget.
    retry,
    /// The caller learns that it has not run.
    refuse,
    /// The target's own error goes to the caller.
    forward_error,
    /// The caller learns that it may have run.
    fail,
    /// The answer begun is cut off.
    truncate,
};

/// Connects that may fail before a request is refused.
constexpr int max_failed_connects = 3;

/// Decides after a failure that `progress` already counts. A verdict `again`
/// holds if the budget allows it, `decide_without_retry` says what else.
retry_decision decide_retry(attempt_failure failure,
                            call_progress const& progress,
                            route const& route_rules);
retry_decision decide_without_retry(attempt_failure failure,
                                    call_progress const& progress);

} // namespace tanagerlead::routing
