#pragma once

#include "src/entry/rate_limited_log.hpp"
#include "src/entry/target_links.hpp"
#include "src/routing/dispatcher.hpp"

namespace tanagerlead::entry
{

/// Tells the dispatcher which targets this and other daemons can connect to,
/// and probes those that are out. Does nothing unless it is enabled.
class outage_monitor
{
public:
    struct callbacks
    {
        /// The other daemons should learn what this one saw.
        std::function<void()> news_;
        /// Targets are back.
        std::function<void()> came_back_;
    };

    /// The references must outlive the object.
    outage_monitor(net::asio::io_context& loop, bool is_enabled,
                   routing::dispatcher& dispatcher, target_links& links,
                   rate_limited_log& log, callbacks on);

    void on_connect(routing::target_info const& target, bool connected);
    void on_report(routing::peer_ip from, routing::peer_report const& report);
    /// This daemon reaches no target of the pool.
    void on_pool_lost(base::pool_id const& pool);

private:
    void update();

    bool is_enabled_;
    routing::dispatcher& dispatcher_;
    target_links& links_;
    rate_limited_log& log_;
    callbacks on_;
    net::deadline_timer timer_;
};

} // namespace tanagerlead::entry
