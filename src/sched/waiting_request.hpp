#pragma once

#include "src/sched/types.hpp"

#include <list>

namespace tanagerlead::sched
{

struct waiting_request;
struct workspace_state;

/// Requests of one workspace in one tier, and what it may still spend.
struct flow
{
    base::workspace_id workspace_;
    double weight_ = 1.0;
    /// Output-token equivalents it may spend before its turn ends; below zero
    /// after it spent more.
    double deficit_ = 0;
    /// Sum of the costs of its waiting requests.
    double backlog_ = 0;
    std::list<waiting_request*> requests_;
    /// Not served since it became active.
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
    /// When it is refused unless dispatched before.
    base::time_point expires_ = base::time_point::max();
    refusal_cause expiry_cause_ = refusal_cause::overloaded;

    /// Taken out of the queue and charged, waiting for a certain target.
    bool is_deferred_ = false;

    /// Where the queue keeps it.
    std::list<flow>::iterator flow_;
    std::list<waiting_request*>::iterator position_;
};

} // namespace tanagerlead::sched
