#include "src/config/config_state.hpp"

#include <xxhash.h>

#include <algorithm>

namespace tanagerlead::config
{

namespace
{

/// Rank of a daemon among the readers of its data centre; larger is first.
std::uint64_t rank(base::daemon_id const& daemon)
{
    constexpr std::uint64_t readers_seed = 0x636f6e666967;
    auto const& text = daemon.str();
    return XXH3_64bits_withSeed(text.data(), text.size(), readers_seed);
}

} // namespace

config_state::config_state(base::daemon_id self, std::uint64_t seed,
                           base::time_point start)
    : self_{std::move(self)}, random_{seed}, poll_at_{start}, fetch_at_{start},
      last_contact_{start}
{
}

void config_state::on_members(
    std::vector<base::daemon_id> const& same_data_centre, base::time_point now)
{
    auto const own = rank(self_);
    std::size_t ahead = 0;
    for (auto const& daemon : same_data_centre)
    {
        ahead += daemon != self_ && rank(daemon) > own ? 1 : 0;
    }
    auto const was_reader = is_reader_;
    is_reader_ = ahead < readers_per_data_centre;
    if (is_reader_ && !was_reader)
    {
        poll_at_ = now;
    }
}

bool config_state::on_peer_version(config_peer const& peer,
                                   base::config_version version,
                                   base::time_point now)
{
    last_contact_ = std::max(last_contact_, now);
    peers_[peer.daemon_] = {peer.address_, version};
    return version > in_force_;
}

void config_state::on_peer_gone(base::daemon_id const& peer)
{
    peers_.erase(peer);
}

void config_state::on_watch(base::config_version version, base::time_point now)
{
    last_contact_ = std::max(last_contact_, now);
    store_version_ = std::max(store_version_, version);
    avoid_store_ = false;
}

void config_state::on_poll(std::optional<base::config_version> version,
                           base::time_point now)
{
    polling_ = false;
    if (version)
    {
        on_watch(*version, now);
    }
    poll_at_ = now + jitter(poll_interval());
}

bool config_state::on_fetched(base::config_version version,
                              base::time_point now)
{
    last_contact_ = std::max(last_contact_, now);
    if (fetching_ && version < fetching_->version_)
    {
        // It has less than was told of it, so asking again at once is no use.
        on_fetch_failed(now);
    }
    else
    {
        fetching_.reset();
        backoff_ = first_fetch_backoff;
        fetch_at_ = now;
    }
    return raise(version);
}

bool config_state::on_accepted(base::config_version version,
                               base::time_point now)
{
    on_watch(version, now);
    return raise(version);
}

bool config_state::raise(base::config_version version)
{
    if (version <= in_force_)
    {
        return false;
    }
    in_force_ = version;
    return true;
}

void config_state::on_fetch_failed(base::time_point now)
{
    if (fetching_ && fetching_->peer_)
    {
        // It is asked again once it is heard of again.
        peers_.erase(fetching_->peer_->daemon_);
        avoid_store_ = false;
    }
    else
    {
        avoid_store_ = true;
    }
    fetching_.reset();
    fetch_at_ = now + jitter(backoff_);
    backoff_ = std::min(backoff_ * 2, longest_fetch_backoff);
}

base::config_version config_state::latest_known() const
{
    auto latest = store_version_;
    for (auto const& [daemon, peer] : peers_)
    {
        latest = std::max(latest, peer.version_);
    }
    return latest;
}

std::optional<config_peer> config_state::pick_peer(base::config_version wanted)
{
    std::vector<config_peer> having;
    for (auto const& [daemon, peer] : peers_)
    {
        if (peer.version_ >= wanted)
        {
            having.push_back({daemon, peer.address_});
        }
    }
    if (having.empty())
    {
        return std::nullopt;
    }
    return having[random_.below(having.size())];
}

std::optional<fetch_order> config_state::pick_fetch(base::time_point now)
{
    auto const wanted = latest_known();
    if (wanted <= in_force_ || fetching_ || now < fetch_at_)
    {
        return std::nullopt;
    }
    fetch_order order{wanted, std::nullopt};
    // Readers carry a version into the data centre; the others spare the
    // service.
    auto const from_store =
        is_reader_ && store_version_ >= wanted && !avoid_store_;
    if (!from_store)
    {
        order.peer_ = pick_peer(wanted);
    }
    return order;
}

config_step config_state::next(base::time_point now)
{
    config_step step;
    step.hold_watch_ = is_reader_;
    if (!polling_ && now >= poll_at_)
    {
        polling_ = true;
        step.poll_store_ = true;
    }
    step.fetch_ = pick_fetch(now);
    if (step.fetch_)
    {
        fetching_ = step.fetch_;
    }
    step.wake_at_ = now + reader_poll_interval;
    if (!polling_)
    {
        step.wake_at_ = std::min(step.wake_at_, poll_at_);
    }
    if (!fetching_ && latest_known() > in_force_)
    {
        step.wake_at_ = std::min(step.wake_at_, fetch_at_);
    }
    return step;
}

bool config_state::may_take_work(base::time_point now) const
{
    return in_force_ > base::config_version{} &&
           now - last_contact_ <= isolation_limit;
}

base::duration config_state::poll_interval() const
{
    if (in_force_ == base::config_version{})
    {
        return first_poll_interval;
    }
    return is_reader_ ? reader_poll_interval : follower_poll_interval;
}

base::duration config_state::jitter(base::duration around)
{
    // From three quarters to five quarters.
    constexpr double least = 0.75;
    constexpr double spread = 0.5;
    return base::from_seconds(base::seconds(around) *
                              (least + spread * random_.uniform()));
}

} // namespace tanagerlead::config
