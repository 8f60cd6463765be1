#include "src/entry/channel_pool.hpp"

#include <algorithm>

namespace tanagerlead::entry
{

namespace
{

/// Targets are milliseconds away; one without power never answers.
constexpr base::duration connect_timeout = std::chrono::milliseconds{250};

} // namespace

channel_pool::~channel_pool()
{
    for (auto& [id, kept] : kept_)
    {
        close_all(kept);
    }
}

void channel_pool::close_all(kept_channels& kept)
{
    for (auto const& idle : kept.idle_)
    {
        idle->close();
    }
    kept.idle_.clear();
}

void channel_pool::drop_closed(kept_channels& kept)
{
    std::erase_if(kept.idle_,
                  [](auto const& idle)
                  {
                      auto const over = !idle->is_reusable();
                      if (over)
                      {
                          idle->close();
                      }
                      return over;
                  });
}

// A channel keeps its callback until it is connected, so the callback must
// not keep the channel.
void channel_pool::open(routing::target_info const& target,
                        base::duration most_idle, opened done)
{
    auto& kept = kept_[target.id_];
    drop_closed(kept);
    if (!kept.idle_.empty() &&
        net::now() - kept.idle_.back()->idle_since() <= most_idle)
    {
        auto newest = std::move(kept.idle_.back());
        kept.idle_.pop_back();
        done(std::move(newest), {});
        return;
    }
    auto const fresh = std::make_shared<net::channel>(loop_, target.address_);
    fresh->connect(connect_timeout,
                   [weak = std::weak_ptr{fresh},
                    done = std::move(done)](net::error_code const& error)
                   { done(error ? nullptr : weak.lock(), error); });
}

void channel_pool::probe(routing::target_info const& target,
                         std::function<void(bool reachable)> done)
{
    auto const fresh = std::make_shared<net::channel>(loop_, target.address_);
    fresh->connect(connect_timeout,
                   [this, weak = std::weak_ptr{fresh}, id = target.id_,
                    done = std::move(done)](net::error_code const& error)
                   {
                       if (!error)
                       {
                           keep(id, weak.lock());
                       }
                       done(!error);
                   });
}

void channel_pool::keep(base::target_id const& target,
                        std::shared_ptr<net::channel> const& used)
{
    auto const found = kept_.find(target);
    if (found == kept_.end() || !used->is_reusable())
    {
        used->close();
        return;
    }
    drop_closed(found->second);
    found->second.idle_.push_back(used);
}

void channel_pool::set_targets(std::vector<routing::target_info> const& targets)
{
    std::map<base::target_id, kept_channels> next;
    for (auto const& target : targets)
    {
        auto& fresh = next[target.id_];
        fresh.target_ = target;
        auto const known = kept_.find(target.id_);
        if (known != kept_.end() && known->second.target_.is_same_life(target))
        {
            fresh.idle_.swap(known->second.idle_);
        }
    }
    for (auto& [id, old] : kept_)
    {
        close_all(old);
    }
    kept_ = std::move(next);
}

} // namespace tanagerlead::entry
