#pragma once

#include "src/entry/settings.hpp"
#include "src/net/event_loop.hpp"
#include "src/net/udp_socket.hpp"
#include "src/routing/stream_origin.hpp"
#include "src/routing/working_set.hpp"

namespace tanagerlead::entry
{

/// Recipients of a report, by data centre and role; see routing::daemon_role.
enum class report_group : std::uint8_t
{
    /// Daemons of this data centre that have requests or may get some.
    working_here,
    working_elsewhere,
    standby_here,
    standby_elsewhere,
};

constexpr std::size_t report_group_count = 4;

/// Intervals of the reports to one group.
struct report_pace
{
    /// Changes within an interval share one report. It grows with the number of
    /// recipients, between a minimum and a maximum.
    base::duration per_daemon_{};
    base::duration min_{};
    base::duration max_{};
    /// A report is sent at least every so many heartbeats.
    int heartbeats_ = 1;
    /// How long the usage of a workspace is repeated after it changed, so that
    /// a lost report does no harm.
    base::duration usage_time_{};
};

/// Supplies the content of outgoing reports and receives incoming reports.
class peer_report_delegate
{
public:
    virtual ~peer_report_delegate() = default;

    virtual void fill_report(routing::peer_report& report, report_group to,
                             base::duration usage_time) = 0;
    virtual void
    on_peer_report(routing::peer_ip from, routing::peer_report const& report,
                   routing::peer_table::report_delta const& delta) = 0;
    virtual void on_stream_message(routing::peer_ip from,
                                   routing::stream_message const& message) = 0;
    /// Called several times a second, also when no daemon is heard.
    virtual void on_heartbeat() = 0;
    /// Whether a caller's request is in progress.
    virtual bool has_calls() const = 0;
    virtual void on_role_changed(routing::daemon_role role) = 0;
};

/// Exchanges reports with all other daemons over UDP. Changes are reported
/// promptly between daemons that work in the same data centre, since they use
/// the same targets, and less often to other data centres. Reports are sent
/// several times a second even without changes. The interval grows with the
/// number of daemons, which limits the cost for each.
///
/// A fleet that is larger than its working set has daemons that stand by. They
/// get reports less often and send them rarely, so that the cost of the fleet
/// grows with the number of daemons and not with its square.
class peer_exchange
{
public:
    peer_exchange(net::asio::io_context& loop, settings const& s,
                  std::uint64_t incarnation, peer_report_delegate& delegate);

    base::result<void> start();
    /// Schedules reports after a change of the reported state.
    void schedule_reports();
    /// Sends reports immediately, for example at the start of a graceful
    /// shutdown.
    void send_now();
    void send_stream_message(std::vector<routing::peer_ip> const& to,
                             routing::stream_message message);
    /// A caller sent a request to this daemon, which stands by no longer.
    void on_request();
    routing::daemon_role role() const { return role_; }
    /// Updates the addresses of all daemons registered in the store.
    void on_listed(std::vector<std::string> const& ips);

    routing::peer_ip self() const { return self_; }
    /// Place of this daemon among those that it hears.
    routing::follower_position position(base::time_point now) const
    {
        return board_.position_of(self_, now);
    }

    routing::peer_table& board() { return board_; }
    routing::peer_table const& board() const { return board_; }
    std::uint64_t sent_count() const { return sent_count_; }

private:
    /// State of the reports to one group.
    struct report_schedule
    {
        report_group to_;
        net::deadline_timer timer_;
        base::time_point sent_at_{};
        base::duration interval_{};
        base::time_point addresses_sent_at_{};
    };

    bool is_working() const { return role_ != routing::daemon_role::standby; }
    bool is_large_fleet() const;
    report_schedule make_schedule(net::asio::io_context& loop, report_group to);
    report_schedule& schedule_of(report_group to)
    {
        return schedules_.at(static_cast<std::size_t>(to));
    }
    bool is_here(routing::peer_ip peer) const;
    report_group group_of(routing::peer_ip peer) const;
    std::vector<routing::peer_ip> peers_in(report_group to) const;
    report_pace const& pace_of(report_group to) const;
    void update_role();
    void set_role(routing::daemon_role role);
    void send_scheduled(report_schedule& schedule);
    void send_report(report_schedule& schedule,
                     std::vector<routing::peer_ip> const& to);
    void add_known_addresses(routing::peer_report& report,
                             base::time_point now) const;
    void on_datagram(std::uint32_t from, std::string_view bytes);
    void on_report(routing::peer_ip sender, routing::peer_report const& report);
    void on_heartbeat();
    void try_seeds();
    std::vector<routing::peer_ip>
    others(std::vector<std::string> const& ips) const;

    settings settings_;
    peer_report_delegate& delegate_;
    routing::id_digest data_centre_;
    routing::peer_ip self_{};
    std::uint64_t incarnation_;
    std::uint32_t sequence_number_ = 0;
    std::uint64_t sent_count_ = 0;
    routing::peer_table board_;
    net::udp_socket port_;
    routing::working_set working_set_{routing::peer_ip{}};
    routing::daemon_role role_ = routing::daemon_role::serving;
    std::array<report_schedule, report_group_count> schedules_;
    net::deadline_timer heartbeat_timer_;
};

std::optional<routing::peer_ip> parse_peer_ip(std::string const& ip);
std::string to_string(routing::peer_ip ip);

} // namespace tanagerlead::entry
