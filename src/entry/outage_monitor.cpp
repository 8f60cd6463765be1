#include "src/entry/outage_monitor.hpp"

namespace tanagerlead::entry
{

namespace
{

/// Between looks at outages for probes and for evidence that expires.
constexpr base::duration check_interval = std::chrono::milliseconds{50};

} // namespace

outage_monitor::outage_monitor(net::asio::io_context& loop, bool is_enabled,
                               routing::dispatcher& dispatcher,
                               target_links& links, rate_limited_log& log,
                               callbacks on)
    : is_enabled_{is_enabled}, dispatcher_{dispatcher}, links_{links},
      log_{log}, on_{std::move(on)}, timer_{loop, [this]
                                            {
                                                update();
                                            }}
{
}

void outage_monitor::on_connect(routing::target_info const& target,
                                bool connected)
{
    auto const is_witness = connected || links_.reach().reaches(target.pool_);
    if (is_enabled_ && is_witness &&
        dispatcher_.outages().on_connect(routing::digest_of(target), connected,
                                         net::now()))
    {
        on_.news_();
        update();
    }
}

void outage_monitor::on_report(routing::peer_ip from,
                               routing::peer_report const& report)
{
    auto& outages = dispatcher_.outages();
    if (is_enabled_ && (report.has_observations() || !outages.empty()))
    {
        outages.on_report(from, report, net::now());
        update();
    }
}

void outage_monitor::on_pool_lost(base::pool_id const& pool)
{
    if (is_enabled_)
    {
        dispatcher_.outages().withdraw_own(routing::digest_of(pool.str()),
                                           net::now());
        update();
    }
}

void outage_monitor::update()
{
    auto const now = net::now();
    auto const update = dispatcher_.advance_outages(now);
    for (auto const& target : update.went_out_)
    {
        log_.write(log_category::target,
                   log_line{"Target is out: no daemon can connect to it."}.with(
                       "target", target.id_.str()),
                   now);
    }
    for (auto const& target : update.came_back_)
    {
        log_.write(log_category::target,
                   log_line{"Target is back."}.with("target", target.id_.str()),
                   now);
    }
    for (auto const& target : update.probes_)
    {
        // The observer of connects learns how it ends.
        links_.targets().probe(target, [](bool) {});
    }
    if (!update.came_back_.empty())
    {
        on_.came_back_();
    }
    if (!dispatcher_.outages().empty() && !timer_.is_set())
    {
        timer_.set(now + check_interval);
    }
}

} // namespace tanagerlead::entry
