#pragma once

#include "src/entry/settings.hpp"
#include "src/net/udp_socket.hpp"
#include "src/routing/peer_table.hpp"

namespace tanagerlead::entry
{

/// Recipients of a report.
enum class peer_scope : std::uint8_t
{
    /// Daemons in this daemon's data centre.
    same_data_centre,
    other_data_centres,
};

/// Supplies the content of outgoing reports and receives incoming reports.
class peer_report_delegate
{
public:
    virtual ~peer_report_delegate() = default;

    virtual void fill_report(routing::peer_report& report, peer_scope to) = 0;
    virtual void
    on_peer_report(routing::peer_ip from, routing::peer_report const& report,
                   routing::peer_table::report_delta const& delta) = 0;
};

/// Exchanges reports with all other daemons over UDP. Changes are reported
/// promptly to daemons in the same data centre, which use the same targets, and
/// less often to the rest. Reports are sent several times a second even without
/// changes. The interval grows with the number of daemons, which limits the
/// cost for each.
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
    /// Updates the addresses of all daemons registered in the store.
    void on_listed(std::vector<std::string> const& ips);

    routing::peer_table& board() { return board_; }
    routing::peer_table const& board() const { return board_; }
    std::uint64_t sent_count() const { return sent_count_; }

private:
    /// Send interval and state of the reports to one scope.
    struct report_schedule
    {
        peer_scope to_;
        base::duration min_interval_;
        base::duration interval_per_daemon_;
        net::deadline_timer timer_;
        base::time_point sent_at_{};
        base::duration interval_{};
        base::time_point addresses_sent_at_{};
    };

    /// Selects peers by the data centres that they report.
    std::vector<routing::peer_ip> peers_in(peer_scope to) const;
    void send_scheduled(report_schedule& schedule);
    void add_known_addresses(routing::peer_report& report,
                             base::time_point now) const;
    void on_datagram(std::uint32_t from, std::string_view bytes);
    void on_heartbeat();
    void try_seeds();
    std::vector<routing::peer_ip>
    others(std::vector<std::string> const& ips) const;

    settings settings_;
    peer_report_delegate& delegate_;
    routing::peer_ip self_{};
    std::uint64_t incarnation_;
    std::uint32_t sequence_number_ = 0;
    std::uint64_t sent_count_ = 0;
    routing::peer_table board_;
    net::udp_socket port_;
    std::array<report_schedule, 2> schedules_;
    net::deadline_timer heartbeat_timer_;
};

std::optional<routing::peer_ip> parse_peer_ip(std::string const& ip);
std::string to_string(routing::peer_ip ip);

} // namespace tanagerlead::entry
