#pragma once

#include "src/sched/types.hpp"

#include <vector>

namespace tanagerlead::routing
{

/// A request that wants a target.
struct pending_call
{
    sched::work_item work_;
    /// Time to the answer, or to the first event, that counts as on time.
    base::duration objective_{};
    /// Targets that it was sent to; it goes to none of them again.
    std::vector<base::target_id> tried_;
    /// Of the part of the prompt that a later request may share; 0: none.
    std::uint64_t affinity_key_ = 0;
    /// Its route is of the first rank.
    bool urgent_ = false;
    /// Its caller has part of the answer, which is lost unless it goes on.
    bool answer_started_ = false;
};

/// How a dispatched request ended at its target.
enum class attempt_outcome : std::uint8_t
{
    finished,
    /// The caller left, or its time was over.
    cancelled,
    /// No connection.
    not_connected,
    rejected,
    /// Another target has its address: it is gone.
    displaced,
    /// An error, a broken connection, or silence.
    failed,
};

} // namespace tanagerlead::routing
