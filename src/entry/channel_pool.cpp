#include "src/entry/channel_pool.hpp"

#include <algorithm>

namespace tanagerlead::entry
{

namespace
{

/// Targets are milliseconds away, and a host without power never answers a
/// connection attempt.
constexpr base::duration connect_timeout = std::chrono::milliseconds{250};

} // namespace

channel_pool::~channel_pool()
{
    for (auto& [id, channels] : by_target_)
    {
        close_all(channels);
    }
}

void channel_pool::close_all(target_channels& channels)
{
    for (auto const& idle : channels.idle_)
    {
        idle->close();
    }
    channels.idle_.clear();
}

void channel_pool::drop_closed(target_channels& channels)
{
    std::erase_if(channels.idle_,
                  [](auto const& idle)
                  {
                      auto const is_unusable = !idle->is_reusable();
                      if (is_unusable)
                      {
                          idle->close();
                      }
                      return is_unusable;
                  });
}

// A channel owns its callback until it is connected, so the callback holds only
// a weak pointer to the channel.
void channel_pool::acquire(routing::target_info const& target,
                           base::duration max_idle, open_callback done)
{
    auto& channels = by_target_[target.id_];
    drop_closed(channels);
    if (!channels.idle_.empty() &&
        net::now() - channels.idle_.back()->idle_since() <= max_idle)
    {
        auto newest = std::move(channels.idle_.back());
        channels.idle_.pop_back();
        done(std::move(newest), {});
        return;
    }
    auto const fresh = std::make_shared<net::channel>(loop_, target.address_);
    fresh->connect(connect_timeout,
                   [this, weak = std::weak_ptr{fresh}, target,
                    done = std::move(done)](net::error_code const& error)
                   {
                       observe_connect_(target, !error);
                       done(error ? nullptr : weak.lock(), error);
                   });
}

void channel_pool::probe(routing::target_info const& target,
                         std::function<void(bool reachable)> done)
{
    auto const fresh = std::make_shared<net::channel>(loop_, target.address_);
    fresh->connect(connect_timeout,
                   [this, weak = std::weak_ptr{fresh}, target,
                    done = std::move(done)](net::error_code const& error)
                   {
                       observe_connect_(target, !error);
                       if (!error)
                       {
                           release(target.id_, weak.lock());
                       }
                       done(!error);
                   });
}

void channel_pool::release(base::target_id const& target,
                           std::shared_ptr<net::channel> const& channel)
{
    auto const found = by_target_.find(target);
    if (found == by_target_.end() || !channel->is_reusable())
    {
        channel->close();
        return;
    }
    drop_closed(found->second);
    found->second.idle_.push_back(channel);
}

void channel_pool::set_targets(std::vector<routing::target_info> const& targets)
{
    std::map<base::target_id, target_channels> next;
    for (auto const& target : targets)
    {
        auto& fresh = next[target.id_];
        fresh.target_ = target;
        auto const known = by_target_.find(target.id_);
        if (known != by_target_.end() &&
            known->second.target_.is_same_incarnation(target))
        {
            fresh.idle_.swap(known->second.idle_);
        }
    }
    for (auto& [id, old] : by_target_)
    {
        close_all(old);
    }
    by_target_ = std::move(next);
}

} // namespace tanagerlead::entry
