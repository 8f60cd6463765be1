#pragma once

#include "src/base/address.hpp"
#include "src/sched/types.hpp"

#include <functional>
#include <variant>
#include <vector>

namespace tanagerlead::request
{

/// Run the request on this target.
struct dispatch_to
{
    base::target_id target_;
    base::address address_;
};

/// Final: the request was not run.
struct refuse
{
    sched::refusal_cause cause_{};
    base::duration retry_after_{};
};

using decision = std::variant<dispatch_to, refuse>;

/// The request path's view of scheduling. Any thread.
class dispatcher
{
public:
    virtual ~dispatcher() = default;

    /// `decided` is called exactly once, on the control thread, unless the
    /// request is withdrawn first. Must not block.
    virtual void submit(sched::work_item item,
                        std::function<void(decision const&)> decided) = 0;

    /// Asks again for a request whose target could not be connected to
    /// (reported as `not_sent`).
    virtual void resubmit(sched::work_item item,
                          std::function<void(decision const&)> decided) = 0;

    /// No decision follows, or the one that was on its way is ignored.
    virtual void withdraw(base::request_id request) = 0;

    virtual void report(sched::dispatch_report event) = 0;
};

/// One address callers may use.
struct entry_address
{
    base::daemon_id daemon_;
    base::address address_;
};

/// Which daemons callers should use. Any thread.
class entry_directory
{
public:
    virtual ~entry_directory() = default;

    /// Best first; never empty while this daemon serves.
    virtual std::vector<entry_address>
    entries_for(base::workspace_id const& workspace,
                std::vector<base::pool_id> const& pools) const = 0;

    /// Caller address of the daemon whose life has this request origin; empty
    /// when it is not alive.
    virtual base::address address_of(std::uint64_t origin) const = 0;

    /// False while the daemon is leaving or not ready.
    virtual bool accepts_work() const = 0;
};

} // namespace tanagerlead::request
