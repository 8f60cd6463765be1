#pragma once

#include "src/entry/channel_pool.hpp"
#include "src/entry/rate_limited_log.hpp"
#include "src/routing/peer_table.hpp"
#include "src/routing/target_reach.hpp"

#include <map>

namespace tanagerlead::entry
{

/// Opens connections for attempts: to targets, and to other daemons that relay
/// requests to pools which this daemon does not reach.
class target_links
{
public:
    struct callbacks
    {
        /// The pool can be reached again, or no longer.
        std::function<void(base::pool_id const&)> reach_changed_;
        /// A connect to the target succeeded or failed.
        std::function<void(routing::target_info const&, bool connected)>
            connect_ended_;
    };

    /// `peers` and `log` must outlive the object.
    target_links(net::asio::io_context& loop, std::uint16_t relay_port,
                 routing::peer_table const& peers, rate_limited_log& log,
                 callbacks on);

    void set_targets(std::vector<routing::target_info> const& targets);
    void acquire(routing::target_info const& target, base::duration max_idle,
                 channel_pool::open_callback done);
    void release(base::target_id const& target,
                 std::shared_ptr<net::channel> const& channel);
    /// Pools connections to targets, also for probes.
    channel_pool& targets() { return targets_; }
    routing::target_reach const& reach() const { return reach_; }

    /// A daemon that reaches the pool, as a target; nothing if this daemon does
    /// so itself or no other one is known to. None of `tried` is chosen.
    std::optional<routing::target_info>
    find_relay(base::pool_id const& pool,
               std::vector<base::target_id> const& tried);

    /// The daemon `peer` as a target; nothing if it is in `tried` or did not
    /// take a connection just now.
    std::optional<routing::target_info>
    relay_at(routing::peer_ip peer, base::pool_id const& pool,
             std::vector<base::target_id> const& tried) const;

private:
    static constexpr char const* relay_prefix = "daemon-";

    static bool is_relay(base::target_id const& id)
    {
        return id.str().starts_with(relay_prefix);
    }
    void on_connect(routing::target_info const& target, bool connected);
    void probe_due();

    std::uint16_t relay_port_;
    routing::peer_table const& peers_;
    rate_limited_log& log_;
    callbacks on_;
    base::random_source random_;
    channel_pool targets_;
    channel_pool relays_;
    routing::target_reach reach_;
    /// Daemons to which a connect failed, and when they may be tried again.
    std::map<base::target_id, base::time_point> avoided_;
    net::deadline_timer probe_timer_;
};

} // namespace tanagerlead::entry
