#include "src/routing/origin_keeper.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

void origin_keeper::set_targets(std::vector<target_info> const& targets,
                                base::time_point now)
{
    archive_.set_targets(targets, now);
    starts_.set_targets(archive_.target_ids(), now);
    retire_at_ = now + origin_archive::retention + retire_margin;
}

// Streams of the path, or of the pool on other routes, may have begun at these.
std::set<version_digest>
origin_keeper::others_of(stream_start const& start,
                         base::pool_id const& pool) const
{
    auto others = starts_.overlapping(start);
    auto const is_listed = starts_.lists(start.version_);
    if (!is_listed)
    {
        auto const listed = starts_.versions();
        others.insert(listed.begin(), listed.end());
    }
    std::erase_if(others,
                  [&](version_digest version)
                  {
                      auto const is_of_pool = archive_.pool_of(version) == pool;
                      auto const overlaps =
                          starts_.overlapping(start).contains(version);
                      // The streams of the pool cannot be told apart anyway.
                      auto const is_ambiguous = is_of_pool && is_listed;
                      return !archive_.serves(version) || is_ambiguous ||
                             (!is_of_pool && !overlaps);
                  });
    return others;
}

void origin_keeper::hold(stream_start const& start,
                         std::set<version_digest> others, base::time_point now)
{
    held_start held{now, std::move(others), {}};
    for (auto const version : held.others_)
    {
        held.pools_.insert(*archive_.pool_of(version));
    }
    held_.emplace(start, std::move(held));
    update_ambiguous(now);
}

bool origin_keeper::are_others_kept(held_start const& held,
                                    base::time_point now)
{
    auto are_kept = true;
    for (auto const& pool : held.pools_)
    {
        if (has_unresolved_(pool, held.since_))
        {
            are_kept = false;
        }
        if (!archive_.is_kept(pool, held.since_))
        {
            archive_.write_at_once(pool, now);
            are_kept = false;
        }
    }
    return are_kept;
}

void origin_keeper::list_held_starts(base::time_point now)
{
    auto const finished =
        std::erase_if(held_,
                      [&](auto const& entry)
                      {
                          auto const& [start, held] = entry;
                          if (!archive_.serves(start.version_))
                          {
                              return true;
                          }
                          if (!are_others_kept(held, now))
                          {
                              return false;
                          }
                          starts_.add(start, held.since_, now);
                          return true;
                      });
    if (finished > 0)
    {
        update_ambiguous(now);
    }
}

// While the store is away, a stream begins before its start is kept only if its
// version can be inferred all the same: the list names it for another route, or
// no other version has served the pool for as long as this daemon has seen.
bool origin_keeper::may_be_late(stream_start const& start,
                                base::pool_id const& pool,
                                base::time_point now) const
{
    if (starts_.names(start.version_))
    {
        return true;
    }
    auto const listed = starts_.versions();
    auto const has_other =
        std::any_of(listed.begin(), listed.end(),
                    [&](version_digest version)
                    {
                        return version != start.version_ &&
                               archive_.pool_of(version).value_or(pool) == pool;
                    });
    return !has_other && archive_.serves_alone(start.version_, now);
}

begin_permission origin_keeper::may_begin(stream_start const& start,
                                          base::pool_id const& pool,
                                          base::time_point now)
{
    if (!starts_.contains(start) && !held_.contains(start))
    {
        auto others = others_of(start, pool);
        if (!others.empty())
        {
            hold(start, std::move(others), now);
        }
    }
    list_held_starts(now);
    auto const can_be_late = may_be_late(start, pool, now);
    if (auto const found = held_.find(start); found != held_.end())
    {
        auto const since = found->second.since_;
        if (now - since < stream_starts::max_wait)
        {
            return begin_permission::wait;
        }
        if (!can_be_late)
        {
            return begin_permission::elsewhere;
        }
        held_.erase(found);
        starts_.add(start, since, now);
    }
    if (starts_.may_begin(start, now, can_be_late))
    {
        return begin_permission::granted;
    }
    return starts_.is_overdue(start, now) ? begin_permission::elsewhere
                                          : begin_permission::wait;
}

void origin_keeper::on_begun(stream_start const& start,
                             base::pool_id const& pool, stream_origin origin,
                             base::time_point begun_at, base::time_point now)
{
    archive_.on_begun(pool, origin, begun_at, now);
    if (origin.version_ != unknown_version && origin.version_ != start.version_)
    {
        starts_.add({start.host_, start.prefix_, origin.version_}, now, now);
    }
}

std::optional<stream_starts::update>
origin_keeper::take_starts(base::time_point now)
{
    list_held_starts(now);
    if (now >= retire_at_)
    {
        retire_at_ = base::time_point::max();
        starts_.retire(archive_.known_versions(now), now);
    }
    auto due = starts_.take_due(now);
    if (due)
    {
        update_ambiguous(now);
    }
    return due;
}

void origin_keeper::update_ambiguous(base::time_point now)
{
    auto versions = starts_.ambiguous();
    for (auto const& [start, held] : held_)
    {
        versions.insert(held.others_.begin(), held.others_.end());
    }
    archive_.set_ambiguous(std::move(versions), now);
}

base::time_point origin_keeper::next_wakeup(base::time_point now) const
{
    auto const next =
        std::min({archive_.next_wakeup(), starts_.next_wakeup(), retire_at_});
    return held_.empty() ? next : std::min(next, now + recheck_interval);
}

} // namespace tanagerlead::routing
