#include "src/daemon/operator_views.hpp"

#include "src/cell/scheduling_service.hpp"
#include "src/config/config_service.hpp"
#include "src/kernel/kernel.hpp"
#include "src/peer/membership_service.hpp"

#include <array>

namespace tanagerlead::daemon_parts
{

namespace
{

char const* event_name(sched::dispatch_event event)
{
    static constexpr std::array names{
        "started",  "first_token",  "finished",    "cancelled",
        "not_sent", "target_error", "target_lost", "declined"};
    return names.at(static_cast<std::size_t>(event));
}

http::cell_view view_of(cell::cell_status const& cell,
                        base::daemon_id const& self)
{
    http::cell_view out;
    out.cell_ = cell.cell_;
    out.owner_ = cell.owner_;
    out.targets_ = cell.targets_.size();
    out.works_from_share_ = cell.works_from_share_;
    if (cell.owner_ == self)
    {
        out.waiting_by_tier_ = cell.counts_.waiting_by_tier_;
    }
    return out;
}

http::target_view view_of(config::target_config const& target,
                          cell::cell_status const& cell,
                          base::daemon_id const& self)
{
    http::target_view out;
    out.target_ = target.id_;
    out.pools_ = target.pools_;
    out.address_ = target.address_;
    out.data_centre_ = target.data_centre_;
    out.cell_ = cell.cell_;
    out.owner_ = cell.owner_;
    out.slots_ = target.slots_;
    out.draining_ = target.draining_;
    if (cell.owner_ == self)
    {
        auto const& counts = cell.counts_.in_flight_by_target_;
        auto const found = counts.find(target.id_);
        out.in_flight_ = found == counts.end() ? 0 : found->second;
        out.waiting_by_tier_ = cell.counts_.waiting_by_tier_;
    }
    return out;
}

void tell_decision(request::decision const& decision,
                   http::request_explanation& out)
{
    if (auto const* granted = std::get_if<request::dispatch_to>(&decision))
    {
        out.decision_ = "dispatched";
        out.target_ = granted->target_;
        out.address_ = granted->address_;
        return;
    }
    auto const& refused = std::get<request::refuse>(decision);
    out.decision_ = "refused";
    out.cause_ = sched::to_string(refused.cause_);
    out.retry_after_ = refused.retry_after_;
}

http::request_explanation explanation_of(cell::request_trace const& trace,
                                         base::time_point now)
{
    http::request_explanation out;
    out.request_ = trace.request_;
    out.workspace_ = trace.workspace_;
    out.pool_ = trace.pool_;
    out.tier_ = trace.tier_;
    out.cell_ = trace.cell_;
    out.owner_ = trace.owner_;
    out.waiting_ahead_ = trace.waiting_ahead_;
    out.waited_ = trace.decided_at_.value_or(now) - trace.submitted_;
    out.decision_ = "waiting";
    if (trace.decision_)
    {
        tell_decision(*trace.decision_, out);
    }
    out.decided_by_ = trace.decided_by_;
    out.from_share_ = trace.from_share_;
    out.tries_ = trace.tries_;
    if (trace.last_event_)
    {
        out.last_event_ = event_name(*trace.last_event_);
    }
    return out;
}

template <class Service>
Service& find(kernel::kernel& services)
{
    return services.find<Service>(Service::service_name);
}

} // namespace

std::vector<http::daemon_version> operator_views::versions()
{
    auto& members = find<peer::membership_service>(services_);
    // The answers are there by the time the operator asks again.
    members.survey();
    std::vector<http::daemon_version> versions;
    for (auto const& m : members.current()->members_)
    {
        versions.push_back({m.daemon_, m.data_centre_,
                            membership::to_string(m.state_),
                            m.config_version_});
    }
    return versions;
}

http::daemon_status operator_views::status()
{
    auto& members = find<peer::membership_service>(services_);
    auto const scheduling = find<cell::scheduling_service>(services_).status();
    http::daemon_status now;
    now.daemon_ = members.self().daemon_;
    now.version_ = find<config::config_service>(services_).in_force();
    now.accepts_work_ = scheduling.accepts_work_;
    now.isolated_ = scheduling.isolated_;
    now.members_ = versions();
    for (auto const& cell : scheduling.cells_)
    {
        now.cells_.push_back(view_of(cell, now.daemon_));
    }
    auto const refused = members.refused();
    now.forged_datagrams_ = refused.forged_;
    now.malformed_datagrams_ = refused.malformed_;
    now.peer_bytes_sent_ = members.bytes_sent();
    now.peer_bytes_received_ = members.bytes_received();
    now.control_time_ =
        find<kernel::control_thread>(services_).processor_time();
    return now;
}

std::vector<http::target_view> operator_views::targets()
{
    auto const self = find<peer::membership_service>(services_).self().daemon_;
    std::vector<http::target_view> out;
    for (auto const& cell :
         find<cell::scheduling_service>(services_).status().cells_)
    {
        for (auto const& target : cell.targets_)
        {
            out.push_back(view_of(target, cell, self));
        }
    }
    return out;
}

std::optional<http::request_explanation>
operator_views::explain(base::request_id request)
{
    auto const trace =
        find<cell::scheduling_service>(services_).explain(request);
    if (!trace)
    {
        return std::nullopt;
    }
    return explanation_of(*trace,
                          find<kernel::control_thread>(services_).now());
}

http::status_readers operator_views::readers()
{
    return {[this] { return status(); }, [this] { return targets(); },
            [this](base::request_id request)
            {
                return explain(request);
            }};
}

} // namespace tanagerlead::daemon_parts
