#include "tests/routing/simulated_losses.hpp"

#include "tests/routing/fixtures.hpp"

#include <algorithm>

namespace tanagerlead::routing::testing
{

namespace
{

constexpr base::duration down_time = 1s;
/// Until the registry of a daemon that has started can be relied on.
constexpr base::duration settle_time = 2s;
/// A change is known to a daemon within this time.
constexpr base::duration max_lag = 700ms;
constexpr base::duration max_answer_time = 200ms;
/// Until a daemon notices that the store was restored.
constexpr base::duration max_notice_time = 5s;
constexpr base::duration lease_time = 45s;
constexpr base::duration renewal_interval = 15s;
/// Callers take streams up within this time after they began.
constexpr base::duration stream_life = 15s;
constexpr base::duration max_prefill = 100ms;
/// Age of a restored copy.
constexpr base::duration copy_age = 5s;
char const* const host = "h";

} // namespace

simulated_losses::simulated_losses(settings s, std::uint64_t seed)
    : settings_{s}, random_{seed}, now_{at(0s)}, daemons_(s.daemons_)
{
    world_.versions_ = {{"p", {"0"}}, {"q", {"0"}}};
    world_.routes_ = {{"/a/", "p"}, {"/b/", "q"}};
    for (std::size_t d = 0; d < daemons_.size(); ++d)
    {
        start(d);
    }
    every(s.streams_per_second_,
          [this]
          {
              auto const d = random_.below(daemons_.size());
              begin(d, (chance(0.5) ? "/a/" : "/b/") +
                           std::string{chance(0.5) ? "x/r" : "r"});
          });
    every(s.streams_per_second_, [this] { take_up(); });
    every(s.kills_per_second_,
          [this] { kill(random_.below(daemons_.size())); });
    every(s.losses_of_all_per_second_, [this] { kill_all(); });
    every(s.changes_per_second_, [this] { change(); });
    every(s.restorations_per_second_, [this] { restore(); });
    every(1, [this] { copies_.emplace_back(now_, items_); });
}

void simulated_losses::after(base::duration delay, handler what)
{
    queue_.push({now_ + delay, ++events_, std::move(what)});
}

base::duration simulated_losses::between(base::duration least,
                                         base::duration most)
{
    return least +
           base::from_seconds(random_.uniform() * base::seconds(most - least));
}

bool simulated_losses::chance(double probability)
{
    return random_.uniform() < probability;
}

void simulated_losses::every(double per_second, handler const& what)
{
    if (per_second > 0)
    {
        after(base::from_seconds(2 * random_.uniform() / per_second),
              [this, per_second, what]
              {
                  what();
                  every(per_second, what);
              });
    }
}

void simulated_losses::run(base::duration length)
{
    auto const until = now_ + length;
    while (queue_.top().at_ < until)
    {
        auto const next = queue_.top();
        queue_.pop();
        now_ = next.at_;
        next.what_();
    }
    now_ = until;
}

version_digest simulated_losses::digest(std::string const& pool,
                                        std::string const& version)
{
    return digest_of(base::pool_id{pool}, base::software_version{version});
}

std::vector<target_info> simulated_losses::targets_of(world_view const& view)
{
    std::vector<target_info> out;
    for (auto const& [pool, versions] : view.versions_)
    {
        for (auto const& version : versions)
        {
            auto& added = out.emplace_back(target(pool + version, 1, pool));
            added.version_ = base::software_version{version};
        }
    }
    return out;
}

std::string simulated_losses::key_of(std::size_t d) const
{
    return std::to_string(d) + "-" + std::to_string(daemons_[d].life_);
}

void simulated_losses::start(std::size_t d)
{
    auto const life = daemons_[d].life_ + 1;
    daemons_[d] = daemon{};
    auto& started = daemons_[d];
    started.life_ = life;
    started.is_alive_ = true;
    started.settled_at_ = now_ + settle_time;
    started.vouched_era_ = era_;
    show(d);
}

void simulated_losses::kill(std::size_t d)
{
    if (!daemons_[d].is_alive_)
    {
        return;
    }
    daemons_[d].is_alive_ = false;
    after(down_time, [this, d] { start(d); });
}

void simulated_losses::kill_all()
{
    for (std::size_t d = 0; d < daemons_.size(); ++d)
    {
        kill(d);
    }
}

/// A release begins or ends, a version that has just come is taken back, a
/// route moves, or a part of its paths is split off or returns.
void simulated_losses::change()
{
    auto& versions = world_.versions_[chance(0.5) ? "p" : "q"];
    auto const what = random_.below(4);
    if (what < 2 && versions.size() == 1)
    {
        versions.insert(std::to_string(next_version_++));
    }
    else if (what < 2)
    {
        versions.erase(chance(0.5) ? versions.begin()
                                   : std::prev(versions.end()));
    }
    else if (what == 2)
    {
        auto& pool = world_.routes_[chance(0.5) ? "/a/" : "/b/"];
        pool = pool == "p" ? "q" : "p";
    }
    else if (world_.routes_.erase("/a/x/") == 0)
    {
        world_.routes_["/a/x/"] = chance(0.5) ? "p" : "q";
    }
    for (std::size_t d = 0; d < daemons_.size(); ++d)
    {
        after(between(0ms, max_lag),
              [this, d]
              {
                  if (daemons_[d].is_alive_)
                  {
                      show(d);
                  }
              });
    }
}

void simulated_losses::show(std::size_t d)
{
    auto& seeing = daemons_[d];
    seeing.view_ = world_;
    seeing.archive_.set_targets(targets_of(world_), now_);
}

// What was written since the copy was made is gone. Living daemons see the new
// era with the next answer.
void simulated_losses::restore()
{
    std::map<std::string, item> kept;
    for (auto const& [made_at, copy] : copies_)
    {
        if (now_ - made_at >= copy_age)
        {
            kept = copy;
        }
    }
    items_ = std::move(kept);
    ++era_;
    for (std::size_t d = 0; d < daemons_.size(); ++d)
    {
        if (daemons_[d].is_alive_)
        {
            auto& seeing = daemons_[d];
            seeing.vouch_at_ = now_ + lease_time;
            auto const again = [this, d, life = seeing.life_]
            {
                if (daemons_[d].life_ == life && daemons_[d].is_alive_)
                {
                    rewrite(d);
                }
            };
            after(between(1ms, max_notice_time), again);
            after(lease_time, again);
        }
    }
}

void simulated_losses::begin(std::size_t d, std::string const& path)
{
    auto const& at_daemon = daemons_[d];
    if (!at_daemon.is_alive_)
    {
        return;
    }
    std::string prefix;
    for (auto const& [each, pool] : at_daemon.view_.routes_)
    {
        if (path.starts_with(each) && each.size() > prefix.size())
        {
            prefix = each;
        }
    }
    auto const& pool = at_daemon.view_.routes_.at(prefix);
    auto const& versions = at_daemon.view_.versions_.at(pool);
    auto const& version =
        *std::next(versions.begin(),
                   static_cast<std::ptrdiff_t>(random_.below(versions.size())));
    send(d, path, {host, prefix, digest(pool, version)});
}

void simulated_losses::send(std::size_t d, std::string const& path,
                            stream_start const& begins)
{
    auto& at_daemon = daemons_[d];
    auto const life = at_daemon.life_;
    auto const if_alive = [this, d, life](handler what)
    {
        return [this, d, life, what = std::move(what)]
        {
            if (daemons_[d].life_ == life && daemons_[d].is_alive_)
            {
                what();
            }
        };
    };
    if (!at_daemon.starts_.may_begin(begins, now_))
    {
        write(d);
        after(4ms,
              if_alive([this, d, path, begins] { send(d, path, begins); }));
        return;
    }
    after(between(0ms, max_prefill),
          if_alive(
              [this, path, version = begins.version_] {
                  streams_.push_back({path, version, now_});
              }));
}

void simulated_losses::write(std::size_t d)
{
    auto& writing = daemons_[d];
    if (writing.is_writing_)
    {
        return;
    }
    auto const update = writing.starts_.take_due(now_);
    writing.archive_.set_ambiguous(writing.starts_.ambiguous(), now_);
    if (!update)
    {
        return;
    }
    writing.is_writing_ = true;
    writing.list_ = update->list_.starts_;
    auto const life = writing.life_;
    auto const key = key_of(d);
    auto const reach = between(1ms, max_answer_time / 2);
    after(reach,
          [this, key, written = item{update->list_.starts_, vouched_era(d)}]
          {
              items_[key] = written;
              items_[key].ends_at_ = now_ + lease_time;
          });
    after(reach + between(1ms, max_answer_time / 2),
          [this, d, life, update]
          {
              auto& mine = daemons_[d];
              if (mine.life_ != life || !mine.is_alive_)
              {
                  return;
              }
              mine.is_writing_ = false;
              mine.starts_.on_kept(update->revision_);
              write(d);
              renew(d, life);
          });
}

/// Daemons that have seen a restoration do not vouch for the new era at once.
int simulated_losses::vouched_era(std::size_t d)
{
    auto& mine = daemons_[d];
    if (now_ >= mine.vouch_at_)
    {
        mine.vouched_era_ = era_;
    }
    return mine.vouched_era_;
}

void simulated_losses::rewrite(std::size_t d)
{
    auto const& mine = daemons_[d];
    if (!mine.list_.empty())
    {
        items_[key_of(d)] = {mine.list_, vouched_era(d), now_ + lease_time};
    }
}

void simulated_losses::renew(std::size_t d, std::uint64_t life)
{
    after(renewal_interval,
          [this, d, life]
          {
              auto const found = items_.find(key_of(d));
              if (daemons_[d].life_ == life && daemons_[d].is_alive_ &&
                  found != items_.end())
              {
                  found->second.ends_at_ = now_ + lease_time;
                  write(d);
                  renew(d, life);
              }
          });
}

void simulated_losses::take_up()
{
    std::erase_if(streams_, [this](stream const& s)
                  { return now_ - s.began_at_ > stream_life; });
    std::erase_if(items_, [this](auto const& kept)
                  { return kept.second.ends_at_ <= now_; });
    auto const d = random_.below(daemons_.size());
    if (streams_.empty() || !daemons_[d].is_alive_ ||
        now_ < daemons_[d].settled_at_)
    {
        return;
    }
    auto const taken = streams_[random_.below(streams_.size())];
    std::vector<stream_start> starts;
    for (auto const& [key, kept] : items_)
    {
        if (kept.era_ != era_)
        {
            ++refused_;
            return;
        }
        starts.insert(starts.end(), kept.starts_.begin(), kept.starts_.end());
    }
    after(between(1ms, max_answer_time),
          [this, d, taken, starts, life = daemons_[d].life_]
          {
              if (daemons_[d].life_ == life && daemons_[d].is_alive_)
              {
                  infer(d, taken, starts);
              }
          });
}

void simulated_losses::infer(std::size_t d, stream const& taken,
                             std::vector<stream_start> const& starts)
{
    auto const version = sole_version(starts, host, taken.path_);
    if (!version || !daemons_[d].archive_.serves_alone(*version, now_))
    {
        ++refused_;
        return;
    }
    ++(*version == taken.version_ ? inferred_ : wrong_);
}

} // namespace tanagerlead::routing::testing
