#pragma once

#include "src/sched/types.hpp"

#include <list>

namespace tanagerlead::sched
{

struct waiting_request;
struct workspace_state;

/// Waiting requests of one workspace in one tier, with its deficit counter.
struct flow
{
    base::workspace_id workspace_;
    double weight_ = 1.0;
    /// Output-token equivalents the flow may still use in this turn; negative
    /// if it used more.
    double deficit_ = 0;
    /// Sum of the costs of the waiting requests.
    double backlog_ = 0;
    std::list<waiting_request*> requests_;
    /// The flow has not been served since it became active.
    bool is_new_ = true;
};

/// A request in the queue of a scheduler.
struct waiting_request
{
    work_item item_;
    workspace_state* workspace_ = nullptr;
    base::token_count expected_output_tokens_ = 0;
    /// Output-token equivalents.
    double cost_ = 1;
    base::time_point enqueued_;
    /// Time at which the request is refused if it has not been dispatched.
    base::time_point expires_ = base::time_point::max();
    refusal_cause expiry_cause_ = refusal_cause::overloaded;

    /// The request was taken out of the queue and charged to its workspace, but
    /// could not be dispatched yet; see `deferred_requests`.
    bool is_deferred_ = false;

    /// Position in the queue; set by the queue.
    std::list<flow>::iterator flow_;
    std::list<waiting_request*>::iterator position_;
};

} // namespace tanagerlead::sched
