#include "src/entry/call_report.hpp"

namespace tanagerlead::entry
{

log_line describe_end(call const& over, call_outcome outcome,
                      std::string const& cause, base::duration first,
                      base::time_point now)
{
    auto const& about = over.about();
    auto const workspace = about.workspace_ != nullptr ? about.workspace_->id_
                                                       : base::workspace_id{};
    log_line line{"Request ended."};
    line.with("request", about.marks_.request_id_)
        .with("workspace", workspace.str())
        .with("route", about.route_->name_)
        .with("pool", about.pool_.str())
        .with("tier", static_cast<std::int64_t>(base::index(about.tier_)))
        .with("outcome", to_string(outcome))
        .with("status", over.status())
        .with("cause", cause)
        .with("target", over.target().str())
        .with("attempts", over.progress().attempts_)
        .with("failed_connects", over.progress().failed_connects_);
    if (over.progress().attempts_ > 0)
    {
        line.with_ms("waited_ms", over.first_sent() - over.received());
    }
    line.with_ms("first_ms", first)
        .with_ms("total_ms", now - over.received())
        .with("config",
              static_cast<std::int64_t>(about.configuration_->version()));
    return line;
}

} // namespace tanagerlead::entry
