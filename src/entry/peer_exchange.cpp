#include "src/entry/peer_exchange.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/outcome/try.hpp>
#include <cereal/archives/binary.hpp>

#include <sstream>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Changes within this time share a report. Shorter than a request takes at a
/// target, so that two daemons seldom take one place.
constexpr base::duration least_near_interval = 8ms;
constexpr base::duration near_interval_per_daemon = 1ms;
/// Targets elsewhere are used when those nearby are full.
constexpr base::duration least_far_interval = 25ms;
constexpr base::duration far_interval_per_daemon = 5ms;
constexpr base::duration most_interval = 200ms;
/// Daemons come and go in seconds.
constexpr base::duration others_interval = 1s;
/// Several in the time after which a daemon counts as silent.
constexpr base::duration heartbeat_interval = 150ms;
/// Datagrams of another layout are dropped.
constexpr std::uint32_t report_layout = 0x544c5201;

std::string pack(routing::peer_report& report)
{
    std::ostringstream out;
    {
        cereal::BinaryOutputArchive archive{out};
        archive(report_layout, report);
    }
    return std::move(out).str();
}

bool unpack(std::string_view bytes, routing::peer_report& report)
{
    std::istringstream in{std::string{bytes}};
    try
    {
        cereal::BinaryInputArchive archive{in};
        std::uint32_t layout = 0;
        archive(layout);
        if (layout != report_layout)
        {
            return false;
        }
        archive(report);
        return true;
    }
    catch (cereal::Exception const&)
    {
        // Cut short or damaged; the next report is whole again.
        return false;
    }
}

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
                             std::uint64_t life, report_owner& owner)
    : settings_{s}, owner_{owner}, life_{life},
      port_{loop,
            [this](std::uint32_t from, std::string_view bytes)
            {
                on_datagram(from, bytes);
            }},
      lanes_{lane{audience::near, least_near_interval, near_interval_per_daemon,
                  net::alarm{loop,
                             [this]
                             {
                                 send_on(lanes_.front());
                             }}},
             lane{audience::far, least_far_interval, far_interval_per_daemon,
                  net::alarm{loop,
                             [this]
                             {
                                 send_on(lanes_.back());
                             }}}},
      heartbeat_alarm_{loop, [this]
                       {
                           on_heartbeat();
                       }}
{
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

std::vector<routing::peer_ip> peer_exchange::peers_at(audience to) const
{
    auto const own = routing::digest_of(settings_.data_centre_.str());
    std::vector<routing::peer_ip> out;
    for (auto const peer : board_.known())
    {
        // One that was never heard may be in the own data centre.
        auto const is_near = board_.data_centre_of(peer).value_or(own) == own;
        if (is_near == (to == audience::near))
        {
            out.push_back(peer);
        }
    }
    return out;
}

void peer_exchange::changed()
{
    auto const now = net::now();
    for (auto& l : lanes_)
    {
        if (!l.alarm_.is_set())
        {
            l.alarm_.set(std::max(now, l.sent_ + l.interval_));
        }
    }
}

void peer_exchange::on_heartbeat()
{
    auto const now = net::now();
    board_.refresh(now);
    if (board_.heard(now).empty())
    {
        try_seeds();
    }
    for (auto& l : lanes_)
    {
        if (now - l.sent_ >= heartbeat_interval / 2)
        {
            send_on(l);
        }
    }
    heartbeat_alarm_.set_after(heartbeat_interval);
}

void peer_exchange::send()
{
    for (auto& l : lanes_)
    {
        l.alarm_.clear();
        send_on(l);
    }
}

void peer_exchange::send_on(lane& l)
{
    auto const now = net::now();
    auto const peers = peers_at(l.to_);
    l.sent_ = now;
    l.interval_ = std::clamp(l.interval_per_daemon_ * std::ssize(peers),
                             l.least_interval_, most_interval);
    if (peers.empty())
    {
        return;
    }
    routing::peer_report report;
    owner_.fill(report, l.to_);
    report.life_ = life_;
    report.number_ = ++number_;
    if (now - l.others_told_ >= others_interval)
    {
        l.others_told_ = now;
        tell_others(report, now);
    }
    auto const bytes = pack(report);
    for (auto const peer : peers)
    {
        port_.send(static_cast<std::uint32_t>(peer), bytes);
        ++sent_;
    }
}

void peer_exchange::tell_others(routing::peer_report& report,
                                base::time_point now) const
{
    for (auto const peer : board_.heard(now))
    {
        if (report.others_.size() < routing::peer_report::most_addresses)
        {
            report.others_.push_back(static_cast<std::uint32_t>(peer));
        }
    }
}

void peer_exchange::on_datagram(std::uint32_t from, std::string_view bytes)
{
    routing::peer_report report;
    if (!unpack(bytes, report))
    {
        return;
    }
    auto const sender = routing::peer_ip{from};
    auto const now = net::now();
    for (auto const other : report.others_)
    {
        if (routing::peer_ip{other} != self_)
        {
            board_.on_named(routing::peer_ip{other}, now);
        }
    }
    auto const news = board_.on_report(sender, report, now);
    if (news.is_new_)
    {
        owner_.on_news(sender, report, news);
    }
}

} // namespace tanagerlead::entry
