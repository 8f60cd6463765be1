#pragma once

#include "src/entry/settings.hpp"
#include "src/net/udp_socket.hpp"
#include "src/routing/peer_table.hpp"

namespace tanagerlead::entry
{

/// To whom a report goes.
enum class peer_scope : std::uint8_t
{
    /// The own data centre.
    same_data_centre,
    other_data_centres,
};

/// Fills in and takes in what daemons tell each other.
class peer_report_delegate
{
public:
    virtual ~peer_report_delegate() = default;

    virtual void fill_report(routing::peer_report& report, peer_scope to) = 0;
    virtual void
    on_peer_report(routing::peer_ip from, routing::peer_report const& report,
                   routing::peer_table::report_delta const& news) = 0;
};

/// Sends this daemon's report to all others and keeps theirs: soon after a
/// change to those of its own data centre, whose targets it shares, less often
/// to the others, and several times a second in any case. The more daemons,
/// the longer between reports, so that a daemon's cost grows slowly.
class peer_exchange
{
public:
    peer_exchange(net::asio::io_context& loop, settings const& s,
                  std::uint64_t life, peer_report_delegate& delegate);

    base::result<void> start();
    /// Something that the others should know has changed.
    void schedule_reports();
    /// Now, for example before a planned stop.
    void send_now();
    /// Addresses of all daemons that the store lists.
    void on_listed(std::vector<std::string> const& ips);

    routing::peer_table& board() { return board_; }
    routing::peer_table const& board() const { return board_; }
    std::uint64_t sent_count() const { return sent_count_; }

private:
    /// Reports to the daemons at one distance.
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

    /// As they report their data centres.
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
    std::uint64_t life_;
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
