#pragma once

#include "src/entry/call.hpp"
#include "src/entry/channel_pool.hpp"
#include "src/entry/peer_exchange.hpp"
#include "src/routing/crash_detector.hpp"
#include "src/routing/dispatcher.hpp"
#include "src/routing/evidence_schedule.hpp"

#include <array>
#include <set>

namespace tanagerlead::entry
{

/// Finds out whether targets crashed when connections to them broke, and which
/// requests must not be sent to targets any more since they crash them.
class crash_monitor
{
public:
    struct callbacks
    {
        /// There is something to tell to other daemons.
        std::function<void()> news_;
        /// A target was probed.
        std::function<void()> probed_;
        /// Other requests than before are in quarantine.
        std::function<void()> quarantine_changed_;
    };

    /// The arguments must outlive the monitor.
    crash_monitor(routing::peer_ip self, routing::dispatcher& dispatcher,
                  channel_pool& channels, rate_limited_log& log, callbacks on);

    /// The daemons of the fleet that take requests.
    void set_fleet(std::vector<routing::peer_ip> daemons)
    {
        crashes_.parts().set_fleet(std::move(daemons));
    }

    /// The connection to `target` broke while the target held this request.
    void on_broken(call const& running, base::target_id const& target);
    /// No connection to `target` could be opened.
    void on_unreachable(base::target_id const& target);
    void on_finished(call const& finished);
    /// The target has worked on this request for long enough to show that the
    /// request does not crash it.
    void on_proof(call const& running);
    bool is_blocked(call::request_context const& request,
                    base::time_point now) const;
    /// Whether the request may be accepted, since it may be sent by now.
    bool admits(call::request_context const& request,
                base::time_point now) const;
    /// Asked right before the request is sent.
    send_permission ask_to_send(call::request_context const& request,
                                base::time_point now);

    void add_to(routing::peer_report& report, report_group to,
                base::duration repeat_time, base::time_point now);
    void on_report(routing::peer_report const& report, base::time_point now);
    std::size_t quarantined_parts(base::time_point now) const;

private:
    bool may_try(call::request_context const& request,
                 base::time_point now) const;
    void check_quarantine();

    routing::dispatcher& dispatcher_;
    channel_pool& channels_;
    rate_limited_log& log_;
    callbacks on_;
    routing::crash_detector crashes_;
    /// Targets with a connection probe in progress.
    std::set<base::target_id> probing_;
    std::uint64_t known_revision_ = 0;
    std::array<routing::evidence_schedule, report_group_count>
        evidence_schedules_{};
};

} // namespace tanagerlead::entry
