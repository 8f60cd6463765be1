#include "src/entry/peer_exchange.hpp"

#include "src/entry/report_codec.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/outcome/try.hpp>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Known addresses change on a scale of seconds, so they are not sent in each
/// report.
constexpr base::duration address_interval = 1s;
/// Several heartbeats fit into the time after which a daemon counts as silent.
constexpr base::duration heartbeat_interval = 150ms;

using report_paces = std::array<report_pace, report_group_count>;

/// The minimum is shorter than the time that a request takes at a target, so
/// that two daemons seldom assign the same slot. Remote targets are used only
/// when the local ones are full, so other data centres get fewer reports.
constexpr report_paces paces_in_small_fleet{
    {{1ms, 8ms, 200ms, 1, 2s}, {5ms, 25ms, 200ms, 1, 2s}, {}, {}}};
/// What one daemon sends is limited here. Each daemon of the working set
/// assigns so many requests that it seldom depends on fresh reports.
constexpr report_paces paces_in_large_fleet{{{3ms, 8ms, 200ms, 1, 450ms},
                                             {5ms, 25ms, 400ms, 2, 900ms},
                                             {0ms, 0ms, 0ms, 2, 900ms},
                                             {0ms, 0ms, 0ms, 28, 8400ms}}};
/// A daemon that stands by has no news but that it is alive.
constexpr report_paces paces_on_standby{{{0ms, 0ms, 0ms, 7, 2s},
                                         {0ms, 0ms, 0ms, 20, 2s},
                                         {0ms, 0ms, 0ms, 14, 2s},
                                         {0ms, 0ms, 0ms, 200, 2s}}};

} // namespace

std::optional<routing::peer_ip> parse_peer_ip(std::string const& ip)
{
    net::error_code error;
    auto const parsed = net::asio::ip::make_address_v4(ip, error);
    if (error)
    {
        return std::nullopt;
    }
    return routing::peer_ip{parsed.to_uint()};
}

std::string to_string(routing::peer_ip ip)
{
    return net::asio::ip::address_v4{static_cast<std::uint32_t>(ip)}
        .to_string();
}

peer_exchange::peer_exchange(net::asio::io_context& loop, settings const& s,
                             std::uint64_t incarnation,
                             peer_report_delegate& delegate)
    : settings_{s}, delegate_{delegate}, data_centre_{routing::digest_of(
                                             s.data_centre_.str())},
      incarnation_{incarnation}, port_{loop,
                                       [this](std::uint32_t from,
                                              std::string_view bytes)
                                       {
                                           on_datagram(from, bytes);
                                       }},
      schedules_{make_schedule(loop, report_group::working_here),
                 make_schedule(loop, report_group::working_elsewhere),
                 make_schedule(loop, report_group::standby_here),
                 make_schedule(loop, report_group::standby_elsewhere)},
      heartbeat_timer_{loop, [this]
                       {
                           on_heartbeat();
                       }}
{
}

peer_exchange::report_schedule
peer_exchange::make_schedule(net::asio::io_context& loop, report_group to)
{
    return {to, net::deadline_timer{loop, [this, to]
                                    {
                                        send_scheduled(schedule_of(to));
                                    }}};
}

base::result<void> peer_exchange::start()
{
    auto const self = parse_peer_ip(settings_.callers_.ip_);
    if (!self)
    {
        return base::fail(base::error_code::invalid_argument, "start reports",
                          settings_.callers_.ip_, "not an IPv4 address");
    }
    self_ = *self;
    working_set_ = routing::working_set{self_};
    BOOST_OUTCOME_TRYV(
        port_.open(settings_.callers_.ip_, settings_.report_port_));
    on_heartbeat();
    return base::success();
}

std::vector<routing::peer_ip>
peer_exchange::others(std::vector<std::string> const& ips) const
{
    std::vector<routing::peer_ip> out;
    for (auto const& ip : ips)
    {
        auto const parsed = parse_peer_ip(ip);
        if (parsed && *parsed != self_)
        {
            out.push_back(*parsed);
        }
    }
    return out;
}

void peer_exchange::on_listed(std::vector<std::string> const& ips)
{
    board_.on_listed(others(ips), net::now());
}

void peer_exchange::try_seeds()
{
    std::vector<std::string> ips;
    for (auto const& seed : settings_.seeds_)
    {
        ips.push_back(seed.ip_);
    }
    for (auto const seed : others(ips))
    {
        board_.on_seed(seed, net::now());
    }
}

bool peer_exchange::is_large_fleet() const
{
    return board_.known_count() + 1 > routing::working_set::max_small_fleet;
}

// A peer that has not sent a report yet may be in the same data centre.
bool peer_exchange::is_here(routing::peer_ip peer) const
{
    return board_.data_centre_of(peer).value_or(data_centre_) == data_centre_;
}

report_group peer_exchange::group_of(routing::peer_ip peer) const
{
    // All daemons of a large fleet may start at once. They answer each other's
    // first report, so each needs no more than that one.
    if (is_large_fleet() && !board_.data_centre_of(peer))
    {
        return report_group::standby_here;
    }
    if (board_.is_working(peer))
    {
        return is_here(peer) ? report_group::working_here
                             : report_group::working_elsewhere;
    }
    return is_here(peer) ? report_group::standby_here
                         : report_group::standby_elsewhere;
}

std::vector<routing::peer_ip> peer_exchange::peers_in(report_group to) const
{
    std::vector<routing::peer_ip> out;
    for (auto const peer : board_.known())
    {
        if (group_of(peer) == to)
        {
            out.push_back(peer);
        }
    }
    return out;
}

void peer_exchange::on_request()
{
    working_set_.on_request(net::now());
    if (!is_working())
    {
        set_role(routing::daemon_role::active);
    }
}

void peer_exchange::update_role()
{
    auto const now = net::now();
    if (delegate_.has_calls())
    {
        working_set_.on_request(now);
    }
    set_role(
        working_set_.decide(routing::view_of(board_, data_centre_, now), now));
}

void peer_exchange::set_role(routing::daemon_role role)
{
    if (role == role_)
    {
        return;
    }
    auto const was_working = is_working();
    role_ = role;
    delegate_.on_role_changed(role);
    if (was_working != is_working())
    {
        send_now();
    }
}

void peer_exchange::schedule_reports()
{
    if (!is_working())
    {
        return;
    }
    auto const now = net::now();
    for (auto const to :
         {report_group::working_here, report_group::working_elsewhere})
    {
        auto& schedule = schedule_of(to);
        if (!schedule.timer_.is_set())
        {
            schedule.timer_.set(
                std::max(now, schedule.sent_at_ + schedule.interval_));
        }
    }
}

report_pace const& peer_exchange::pace_of(report_group to) const
{
    auto const& paces = !is_working()      ? paces_on_standby
                        : is_large_fleet() ? paces_in_large_fleet
                                           : paces_in_small_fleet;
    return paces.at(static_cast<std::size_t>(to));
}

void peer_exchange::on_heartbeat()
{
    auto const now = net::now();
    board_.refresh(now);
    if (board_.heard(now).empty())
    {
        try_seeds();
    }
    delegate_.on_heartbeat();
    update_role();
    for (auto& schedule : schedules_)
    {
        auto const due =
            pace_of(schedule.to_).heartbeats_ * heartbeat_interval -
            heartbeat_interval / 2;
        if (now - schedule.sent_at_ >= due)
        {
            send_scheduled(schedule);
        }
    }
    heartbeat_timer_.set_after(heartbeat_interval);
}

void peer_exchange::send_now()
{
    for (auto& schedule : schedules_)
    {
        schedule.timer_.clear();
        send_scheduled(schedule);
    }
}

void peer_exchange::send_scheduled(report_schedule& schedule)
{
    auto const peers = peers_in(schedule.to_);
    auto const& pace = pace_of(schedule.to_);
    schedule.sent_at_ = net::now();
    schedule.interval_ =
        std::clamp(pace.per_daemon_ * std::ssize(peers), pace.min_, pace.max_);
    if (!peers.empty())
    {
        send_report(schedule, peers);
    }
}

void peer_exchange::send_report(report_schedule& schedule,
                                std::vector<routing::peer_ip> const& to)
{
    auto const now = net::now();
    routing::peer_report report;
    delegate_.fill_report(report, schedule.to_,
                          pace_of(schedule.to_).usage_time_);
    report.incarnation_ = incarnation_;
    report.sequence_number_ = ++sequence_number_;
    report.role_ = role_;
    report.interval_ms_ = static_cast<std::uint16_t>(base::milliseconds(
        pace_of(schedule.to_).heartbeats_ * heartbeat_interval));
    if (now - schedule.addresses_sent_at_ >= address_interval)
    {
        schedule.addresses_sent_at_ = now;
        add_known_addresses(report, now);
    }
    auto const bytes = write_report(report);
    for (auto const peer : to)
    {
        port_.send(static_cast<std::uint32_t>(peer), bytes);
        ++sent_count_;
    }
}

void peer_exchange::add_known_addresses(routing::peer_report& report,
                                        base::time_point now) const
{
    for (auto const peer : board_.heard(now))
    {
        if (report.known_peers_.size() < routing::peer_report::max_addresses)
        {
            report.known_peers_.push_back(static_cast<std::uint32_t>(peer));
        }
    }
}

void peer_exchange::send_stream_message(std::vector<routing::peer_ip> const& to,
                                        routing::stream_message message)
{
    auto const bytes = write_stream_message(message);
    for (auto const peer : to)
    {
        port_.send(static_cast<std::uint32_t>(peer), bytes);
        ++sent_count_;
    }
}

void peer_exchange::on_datagram(std::uint32_t from, std::string_view bytes)
{
    auto const sender = routing::peer_ip{from};
    if (auto const message = read_stream_message(bytes))
    {
        delegate_.on_stream_message(sender, *message);
    }
    else if (auto const report = read_report(bytes))
    {
        on_report(sender, *report);
    }
}

void peer_exchange::on_report(routing::peer_ip sender,
                              routing::peer_report const& report)
{
    auto const now = net::now();
    for (auto const other : report.known_peers_)
    {
        if (routing::peer_ip{other} != self_)
        {
            board_.on_mentioned(routing::peer_ip{other}, now);
        }
    }
    auto const delta = board_.on_report(sender, report, now);
    // The sender has just started. It may hear of daemons that report rarely
    // only much later.
    if (delta.is_new_incarnation_ && is_large_fleet())
    {
        send_report(schedule_of(group_of(sender)), {sender});
    }
    if (delta.is_new_)
    {
        delegate_.on_peer_report(sender, report, delta);
    }
}

} // namespace tanagerlead::entry
