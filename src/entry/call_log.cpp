#include "src/entry/call_log.hpp"

namespace tanagerlead::entry
{

namespace
{

void add_origin(log_line& line, routing::origin_finding const& origin)
{
    line.with("origin_gap", routing::name_of(origin.gap_));
    if (origin.version_)
    {
        return;
    }
    if (origin.registry_settled_for_)
    {
        line.with_ms("registry_settled_ms", *origin.registry_settled_for_);
    }
    if (origin.starts_age_)
    {
        line.with_ms("starts_age_ms", *origin.starts_age_)
            .with("starts", static_cast<std::int64_t>(origin.starts_));
    }
}

} // namespace

log_line call_end_line(call const& finished, call_outcome outcome,
                       std::string const& cause, base::duration first,
                       base::time_point now)
{
    auto const& context = finished.context();
    auto const workspace = context.workspace_ != nullptr
                               ? context.workspace_->id_
                               : base::workspace_id{};
    log_line line{"Request ended."};
    line.with("request", context.metadata_.request_id_)
        .with("workspace", workspace.str())
        .with("route", context.route_->name_)
        .with("pool", context.pool_.str())
        .with("tier", static_cast<std::int64_t>(base::index(context.tier_)))
        .with("prompt_tokens", context.metadata_.prompt_tokens_)
        .with("max_output_tokens", context.metadata_.max_output_tokens_)
        .with("outcome", to_string(outcome))
        .with("status", finished.status())
        .with("cause", cause)
        .with("target", finished.target().str())
        .with("version", finished.version().str())
        .with("attempts", finished.progress().attempts_)
        .with("failed_connects", finished.progress().failed_connects_)
        .with("rejections", finished.progress().rejections_)
        .with("moves", finished.moves())
        .with("events", finished.events_sent())
        .with_ms("max_gap_ms", finished.longest_gap())
        .with_ms("queued_ms", finished.queued());
    if (finished.progress().attempts_ > 0)
    {
        line.with_ms("waited_ms",
                     finished.first_sent_at() - finished.received());
    }
    if (auto const& begun = context.metadata_.last_event_)
    {
        line.with("resumes", context.metadata_.resumed_attempt_)
            .with("after_event", static_cast<std::int64_t>(*begun));
    }
    if (finished.origin())
    {
        add_origin(line, *finished.origin());
    }
    line.with_ms("first_ms", first)
        .with_ms("total_ms", now - finished.received())
        .with("config",
              static_cast<std::int64_t>(context.configuration_->version()));
    return line;
}

} // namespace tanagerlead::entry
