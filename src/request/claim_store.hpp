#pragma once

#include "src/base/error.hpp"
#include "src/base/ids.hpp"

#include <string>

namespace tanagerlead::request
{

/// Who may run a non-idempotent request.
struct claim
{
    base::workspace_id workspace_;
    /// The caller's `Idempotency-Key`.
    std::string key_;
    /// Names the daemon's life (origin) and the request.
    base::request_id holder_;
    /// Of pool and body: one key must not be used for two requests.
    std::uint64_t fingerprint_ = 0;
};

/// Claims that survive every daemon. Blocking; any thread.
class claim_store
{
public:
    virtual ~claim_store() = default;

    /// The claim in force: the one given when this call (or a lost earlier
    /// try of it) created it, otherwise the earlier holder's.
    /// Any error means that the request must not be run.
    virtual base::result<claim> acquire(claim const& wanted) = 0;
};

} // namespace tanagerlead::request
