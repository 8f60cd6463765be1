#include "src/entry/target_links.hpp"

#include "src/entry/peer_exchange.hpp"

#include <algorithm>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Pause after a failed connect to a daemon.
constexpr base::duration relay_backoff = 500ms;

} // namespace

target_links::target_links(net::asio::io_context& loop,
                           std::uint16_t relay_port,
                           routing::peer_table const& peers,
                           rate_limited_log& log, callbacks on)
    : relay_port_{relay_port}, peers_{peers}, log_{log}, on_{std::move(on)},
      random_{base::entropy()}, targets_{loop}, relays_{loop},
      reach_{random_()}, probe_timer_{loop, [this]
                                      {
                                          probe_due();
                                      }}
{
    targets_.set_connect_observer(
        [this](routing::target_info const& target, bool connected)
        { on_connect(target, connected); });
    relays_.set_connect_observer(
        [this](routing::target_info const& relay, bool connected)
        {
            if (!connected)
            {
                auto const now = net::now();
                std::erase_if(avoided_, [now](auto const& avoided)
                              { return avoided.second <= now; });
                avoided_[relay.id_] = now + relay_backoff;
            }
        });
}

void target_links::set_targets(std::vector<routing::target_info> const& targets)
{
    targets_.set_targets(targets);
    reach_.set_targets(targets);
}

void target_links::on_connect(routing::target_info const& target,
                              bool connected)
{
    if (reach_.on_connect(target, connected, net::now()))
    {
        log_.write(log_category::target,
                   log_line{connected ? "Pool is reached again."
                                      : "Pool cannot be reached."}
                       .with("pool", target.pool_.str())
                       .with("target", target.id_.str()),
                   net::now());
        on_.reach_changed_(target.pool_);
    }
    on_.connect_ended_(target, connected);
    auto const next = reach_.next_probe();
    if (next != base::time_point::max())
    {
        probe_timer_.set(next);
    }
}

void target_links::probe_due()
{
    for (auto const& target : reach_.due_probes(net::now()))
    {
        targets_.probe(target, [](bool) {});
    }
    auto const next = reach_.next_probe();
    if (next != base::time_point::max())
    {
        probe_timer_.set(next);
    }
}

void target_links::acquire(routing::target_info const& target,
                           base::duration max_idle,
                           channel_pool::open_callback done)
{
    (is_relay(target.id_) ? relays_ : targets_)
        .acquire(target, max_idle, std::move(done));
}

void target_links::release(base::target_id const& target,
                           std::shared_ptr<net::channel> const& channel)
{
    (is_relay(target) ? relays_ : targets_).release(target, channel);
}

std::optional<routing::target_info>
target_links::relay_at(routing::peer_ip peer, base::pool_id const& pool,
                       std::vector<base::target_id> const& tried) const
{
    routing::target_info relay;
    relay.id_ = base::target_id{relay_prefix + to_string(peer)};
    relay.pool_ = pool;
    relay.address_ = {to_string(peer), relay_port_};
    auto const avoided = avoided_.find(relay.id_);
    auto const is_avoided =
        avoided != avoided_.end() && avoided->second > net::now();
    auto const was_tried =
        std::find(tried.begin(), tried.end(), relay.id_) != tried.end();
    return is_avoided || was_tried ? std::nullopt
                                   : std::optional{std::move(relay)};
}

std::optional<routing::target_info>
target_links::find_relay(base::pool_id const& pool,
                         std::vector<base::target_id> const& tried)
{
    if (reach_.reaches(pool))
    {
        return std::nullopt;
    }
    auto peers = peers_.reaching(routing::digest_of(pool.str()), net::now());
    // What daemons on standby report is old.
    auto const standby = std::partition(peers.begin(), peers.end(),
                                        [this](routing::peer_ip peer)
                                        { return peers_.is_working(peer); });
    if (standby != peers.begin())
    {
        peers.erase(standby, peers.end());
    }
    std::vector<routing::target_info> candidates;
    for (auto const peer : peers)
    {
        if (auto relay = relay_at(peer, pool, tried))
        {
            candidates.push_back(std::move(*relay));
        }
    }
    if (candidates.empty())
    {
        return std::nullopt;
    }
    return candidates.at(random_.below(candidates.size()));
}

} // namespace tanagerlead::entry
