#pragma once

#include "src/net/channel.hpp"
#include "src/routing/target_info.hpp"

#include <map>
#include <vector>

namespace tanagerlead::entry
{

/// Pools idle connections to targets. They are keyed by target, not by address,
/// because an address may be reassigned to another target.
class channel_pool
{
public:
    using open_callback =
        std::function<void(std::shared_ptr<net::channel>, net::error_code)>;

    using connect_observer =
        std::function<void(routing::target_info const& target, bool connected)>;

    explicit channel_pool(net::asio::io_context& loop) : loop_{loop} {}
    /// Called after each attempt to open a connection, before its user.
    void set_connect_observer(connect_observer observe)
    {
        observe_connect_ = std::move(observe);
    }
    ~channel_pool();
    channel_pool(channel_pool const&) = delete;
    channel_pool& operator=(channel_pool const&) = delete;

    /// Passes to `done` a pooled connection that has been idle for at most
    /// `max_idle`, or else a new connection. `done` may run before the call
    /// returns.
    void acquire(routing::target_info const& target, base::duration max_idle,
                 open_callback done);
    /// Opens a new connection to check whether the target is reachable, and
    /// pools it if so.
    void probe(routing::target_info const& target,
               std::function<void(bool reachable)> done);
    void release(base::target_id const& target,
                 std::shared_ptr<net::channel> const& channel);
    /// Closes the connections to targets that were removed or restarted.
    void set_targets(std::vector<routing::target_info> const& targets);

private:
    struct target_channels
    {
        routing::target_info target_;
        std::vector<std::shared_ptr<net::channel>> idle_;
    };

    static void drop_closed(target_channels& channels);
    static void close_all(target_channels& channels);

    net::asio::io_context& loop_;
    connect_observer observe_connect_ = [](routing::target_info const&, bool) {
    };
    std::map<base::target_id, target_channels> by_target_;
};

} // namespace tanagerlead::entry
