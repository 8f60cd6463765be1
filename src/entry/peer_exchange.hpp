#pragma once

#include "src/entry/settings.hpp"
#include "src/net/udp_port.hpp"
#include "src/routing/peer_board.hpp"

namespace tanagerlead::entry
{

/// To whom a report goes.
enum class audience : std::uint8_t
{
    /// The own data centre.
    near,
    far,
};

/// Fills in and takes in what daemons tell each other.
class report_owner
{
public:
    virtual ~report_owner() = default;

    virtual void fill(routing::peer_report& report, audience to) = 0;
    virtual void on_news(routing::peer_ip from,
                         routing::peer_report const& report,
                         routing::peer_board::news const& news) = 0;
};

/// Sends this daemon's report to all others and keeps theirs: soon after a
/// change to those of its own data centre, whose targets it shares, less often
/// to the others, and several times a second in any case. The more daemons,
/// the longer between reports, so that a daemon's cost grows slowly.
class peer_exchange
{
public:
    peer_exchange(net::asio::io_context& loop, settings const& s,
                  std::uint64_t life, report_owner& owner);

    base::result<void> start();
    /// Something that the others should know has changed.
    void changed();
    /// Now, for example before a planned stop.
    void send();
    /// Addresses of all daemons that the store lists.
    void on_listed(std::vector<std::string> const& ips);

    routing::peer_board& board() { return board_; }
    routing::peer_board const& board() const { return board_; }
    std::uint64_t sent() const { return sent_; }

private:
    /// Reports to the daemons at one distance.
    struct lane
    {
        audience to_;
        base::duration least_interval_;
        base::duration interval_per_daemon_;
        net::alarm alarm_;
        base::time_point sent_{};
        base::duration interval_{};
        base::time_point others_told_{};
    };

    /// As they report their data centres.
    std::vector<routing::peer_ip> peers_at(audience to) const;
    void send_on(lane& l);
    void tell_others(routing::peer_report& report, base::time_point now) const;
    void on_datagram(std::uint32_t from, std::string_view bytes);
    void on_heartbeat();
    void try_seeds();
    std::vector<routing::peer_ip>
    others(std::vector<std::string> const& ips) const;

    settings settings_;
    report_owner& owner_;
    routing::peer_ip self_{};
    std::uint64_t life_;
    std::uint32_t number_ = 0;
    std::uint64_t sent_ = 0;
    routing::peer_board board_;
    net::udp_port port_;
    std::array<lane, 2> lanes_;
    net::alarm heartbeat_alarm_;
};

std::optional<routing::peer_ip> parse_peer_ip(std::string const& ip);
std::string to_string(routing::peer_ip ip);

} // namespace tanagerlead::entry
