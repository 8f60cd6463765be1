#include "src/entry/crash_monitor.hpp"

#include <absl/strings/str_cat.h>

namespace tanagerlead::entry
{

crash_monitor::crash_monitor(routing::peer_ip self,
                             routing::dispatcher& dispatcher,
                             channel_pool& channels, rate_limited_log& log,
                             callbacks on)
    : dispatcher_{dispatcher}, channels_{channels}, log_{log},
      on_{std::move(on)}, crashes_{self}
{
}

// A broken connection may mean no more than a lost answer. A connection probe
// shows whether the target crashed.
void crash_monitor::on_broken(call const& running,
                              base::target_id const& target)
{
    auto const* const info = dispatcher_.find(target);
    auto const leaves = info != nullptr && info->draining_;
    auto const& context = running.context();
    crashes_.on_broken({context.fingerprint_, target, context.pool_digest_,
                        running.has_run_well() || leaves
                            ? routing::prompt_parts{}
                            : context.metadata_.shared_parts_},
                       net::now());
    if (info == nullptr || !probing_.insert(target).second)
    {
        return;
    }
    channels_.probe(*info,
                    [this, target](bool reachable)
                    {
                        probing_.erase(target);
                        dispatcher_.on_reachable(target, reachable, net::now());
                        if (!reachable)
                        {
                            on_unreachable(target);
                        }
                        on_.probed_();
                    });
}

void crash_monitor::on_unreachable(base::target_id const& target)
{
    auto const now = net::now();
    auto const found = crashes_.on_unreachable(target, now);
    for (auto const fingerprint : found)
    {
        log_.write(log_category::target,
                   log_line{"Target unreachable after a request failed on it."}
                       .with("target", target.str())
                       .with("fingerprint",
                             static_cast<std::int64_t>(fingerprint >> 1U))
                       .with("blocked", crashes_.blocked(fingerprint, now)),
                   now);
    }
    if (!found.empty())
    {
        on_.news_();
        check_quarantine();
    }
}

void crash_monitor::on_finished(call const& finished)
{
    crashes_.on_finished(finished.context().fingerprint_, net::now());
}

void crash_monitor::on_proof(call const& running)
{
    auto const& context = running.context();
    if (!context.metadata_.shared_parts_.empty())
    {
        crashes_.parts().on_proof(context.pool_digest_,
                                  context.metadata_.shared_parts_, net::now());
        check_quarantine();
    }
}

bool crash_monitor::is_blocked(call::request_context const& request,
                               base::time_point now) const
{
    return crashes_.blocked(request.fingerprint_, now) ||
           crashes_.parts().is_blocked(request.pool_digest_,
                                       request.metadata_.shared_parts_, now);
}

bool crash_monitor::may_try(call::request_context const& request,
                            base::time_point now) const
{
    return !crashes_.blocked(request.fingerprint_, now) &&
           crashes_.parts().may_try(request.pool_digest_,
                                    request.metadata_.shared_parts_, now);
}

bool crash_monitor::admits(call::request_context const& request,
                           base::time_point now) const
{
    return !is_blocked(request, now) || may_try(request, now);
}

send_permission crash_monitor::ask_to_send(call::request_context const& request,
                                           base::time_point now)
{
    if (!is_blocked(request, now))
    {
        return send_permission::granted;
    }
    if (!may_try(request, now))
    {
        return send_permission::denied;
    }
    crashes_.parts().on_trial(request.pool_digest_,
                              request.metadata_.shared_parts_, now);
    on_.news_();
    return send_permission::trial;
}

void crash_monitor::check_quarantine()
{
    auto const& parts = crashes_.parts();
    if (parts.revision() == known_revision_)
    {
        return;
    }
    known_revision_ = parts.revision();
    auto const now = net::now();
    std::string names;
    for (auto const part : parts.quarantined(now))
    {
        absl::StrAppend(&names, names.empty() ? "" : ",",
                        absl::Hex(static_cast<std::uint64_t>(part)));
    }
    log_.write(log_category::target,
               log_line{"Parts of prompts in quarantine changed."}.with("parts",
                                                                        names),
               now);
    on_.news_();
    on_.quarantine_changed_();
}

void crash_monitor::add_to(routing::peer_report& report, report_group to,
                           base::duration repeat_time, base::time_point now)
{
    crashes_.add_notices(report, now);
    evidence_schedules_.at(static_cast<std::size_t>(to))
        .add_to(report, crashes_.parts(), repeat_time, now);
}

void crash_monitor::on_report(routing::peer_report const& report,
                              base::time_point now)
{
    for (auto const& crash : report.crashes_)
    {
        crashes_.on_notice(crash, now);
    }
    for (auto const& proof : report.part_proofs_)
    {
        crashes_.parts().on_reported(proof, now);
    }
    for (auto const& crash : report.part_crashes_)
    {
        crashes_.parts().on_reported(crash, now);
    }
    check_quarantine();
}

std::size_t crash_monitor::quarantined_parts(base::time_point now) const
{
    return crashes_.parts().quarantined(now).size();
}

} // namespace tanagerlead::entry
