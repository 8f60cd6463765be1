#pragma once

#include "src/net/channel.hpp"
#include "src/routing/target_info.hpp"

#include <map>
#include <vector>

namespace tanagerlead::entry
{

/// Connections to targets, kept between requests. By target, not by address:
/// an address may pass to another target.
class channel_pool
{
public:
    using opened =
        std::function<void(std::shared_ptr<net::channel>, net::error_code)>;

    explicit channel_pool(net::asio::io_context& loop) : loop_{loop} {}
    ~channel_pool();
    channel_pool(channel_pool const&) = delete;
    channel_pool& operator=(channel_pool const&) = delete;

    /// A kept connection that was in use within `most_idle`, or a new one.
    void open(routing::target_info const& target, base::duration most_idle,
              opened done);
    /// A new one only, to see whether the target is there; it is kept.
    void probe(routing::target_info const& target,
               std::function<void(bool reachable)> done);
    void keep(base::target_id const& target,
              std::shared_ptr<net::channel> const& used);
    /// Closes the connections of targets that are gone or began a new life.
    void set_targets(std::vector<routing::target_info> const& targets);

private:
    struct kept_channels
    {
        routing::target_info target_;
        std::vector<std::shared_ptr<net::channel>> idle_;
    };

    static void drop_closed(kept_channels& kept);
    static void close_all(kept_channels& kept);

    net::asio::io_context& loop_;
    std::map<base::target_id, kept_channels> kept_;
};

} // namespace tanagerlead::entry
