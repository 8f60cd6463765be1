#pragma once

#include "src/http/target_run.hpp"
#include "src/sched/types.hpp"

namespace tanagerlead::http
{

enum class run_right
{
    none,
    /// Its key was issued by this life of the daemon and not used before.
    issued_key,
    /// The claim in the store is this daemon's.
    claim,
};

/// A request on its way through scheduling and targets.
struct runnable
{
    target_job job_;
    sched::work_item item_;
    /// Bearer key and path of its caller, for a request that another daemon
    /// answers.
    std::string bearer_;
    std::string caller_path_;
    /// Sent here by another daemon, and not to be sent on.
    bool forwarded_ = false;
    int connect_tries_ = 0;
    /// Why a non-idempotent request may be run here.
    run_right right_ = run_right::none;
    /// Request that the claim names: this one, or an earlier one that was not
    /// run.
    base::request_id claim_holder_;
    /// Life of another daemon that alone may run it; 0: none.
    std::uint64_t foreign_holder_ = 0;
};

} // namespace tanagerlead::http
