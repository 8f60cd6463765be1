#include "src/routing/origin_archive.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

void origin_archive::pool_record::set_serving(
    std::set<base::software_version> versions, base::time_point now)
{
    for (auto const& version : serving_)
    {
        left_[version] = now;
    }
    serving_ = std::move(versions);
    std::erase_if(left_,
                  [&](auto const& left) {
                      return serving_.contains(left.first) ||
                             now - left.second > retention;
                  });
}

bool origin_archive::pool_record::has_versions(base::time_point now) const
{
    auto const left =
        std::count_if(left_.begin(), left_.end(),
                      [now](auto const& version)
                      { return now - version.second <= retention; });
    return serving_.size() + static_cast<std::size_t>(left) > 1;
}

base::duration origin_archive::interval() const
{
    return std::max(min_interval,
                    interval_per_daemon * static_cast<int>(daemons_));
}

bool origin_archive::keeps(pool_record const& p, base::time_point now)
{
    return p.is_ambiguous_ || p.has_versions(now);
}

void origin_archive::schedule(pool_record const& p, base::time_point now)
{
    if (!p.unwritten_.empty() && keeps(p, now))
    {
        write_at_ =
            std::min(write_at_, std::max(now + interval(), not_before_));
    }
}

// Streams that began just before the first target of another version came are
// written as well.
void origin_archive::set_targets(std::vector<target_info> const& targets,
                                 base::time_point now)
{
    std::map<base::pool_id, std::set<base::software_version>> serving;
    for (auto& [id, p] : pools_)
    {
        p.targets_.clear();
    }
    for (auto const& info : targets)
    {
        serving[info.pool_].insert(info.version_);
        pools_[info.pool_].targets_.emplace_back(
            digest_of(info.id_.str()), digest_of(info.pool_, info.version_));
    }
    for (auto& [id, p] : pools_)
    {
        p.set_serving(std::move(serving[id]), now);
    }
    find_ambiguous();
    for (auto const& [id, p] : pools_)
    {
        schedule(p, now);
    }
    std::erase_if(pools_,
                  [](auto const& entry) {
                      return entry.second.serving_.empty() &&
                             entry.second.left_.empty();
                  });
}

void origin_archive::find_ambiguous()
{
    for (auto& [id, p] : pools_)
    {
        p.is_ambiguous_ = std::any_of(
            p.serving_.begin(), p.serving_.end(),
            [&, &pool = id](auto const& version)
            { return ambiguous_.contains(digest_of(pool, version)); });
    }
}

// Streams that began just before another one of their route began at another
// version are written as well.
void origin_archive::set_ambiguous(std::set<version_digest> versions,
                                   base::time_point now)
{
    ambiguous_ = std::move(versions);
    find_ambiguous();
    for (auto const& [id, p] : pools_)
    {
        schedule(p, now);
    }
}

void origin_archive::on_begun(base::pool_id const& pool, stream_origin origin,
                              base::time_point begun_at, base::time_point now)
{
    auto const found = pools_.find(pool);
    if (found == pools_.end() || origin.version_ == unknown_version)
    {
        return;
    }
    auto& p = found->second;
    p.unwritten_.emplace_back(begun_at, origin);
    while (!p.unwritten_.empty() &&
           now - p.unwritten_.front().first > retention)
    {
        p.unwritten_.pop_front();
    }
    schedule(p, now);
}

bool origin_archive::keeps(base::pool_id const& pool,
                           base::time_point now) const
{
    auto const found = pools_.find(pool);
    return found != pools_.end() && keeps(found->second, now);
}

origin_gap origin_archive::find_gap(version_digest version,
                                    base::time_point now) const
{
    for (auto const& [id, p] : pools_)
    {
        auto const serves =
            std::any_of(p.serving_.begin(), p.serving_.end(),
                        [&, &pool = id](auto const& serving)
                        { return digest_of(pool, serving) == version; });
        if (!serves)
        {
            continue;
        }
        if (p.serving_.size() > 1)
        {
            return origin_gap::version_shared;
        }
        return p.has_versions(now) ? origin_gap::version_left
                                   : origin_gap::none;
    }
    return origin_gap::version_absent;
}

bool origin_archive::serves(version_digest version) const
{
    return std::any_of(pools_.begin(), pools_.end(),
                       [&](auto const& entry)
                       {
                           auto const& targets = entry.second.targets_;
                           return std::any_of(
                               targets.begin(), targets.end(),
                               [&](auto const& target)
                               { return target.second == version; });
                       });
}

std::optional<base::pool_id>
origin_archive::pool_of(version_digest version) const
{
    for (auto const& [id, p] : pools_)
    {
        auto const is_it = [&, &pool = id](auto const& known)
        {
            return digest_of(pool, known) == version;
        };
        if (std::any_of(p.serving_.begin(), p.serving_.end(), is_it) ||
            std::any_of(p.left_.begin(), p.left_.end(),
                        [&](auto const& left) { return is_it(left.first); }))
        {
            return id;
        }
    }
    return std::nullopt;
}

bool origin_archive::may_share_pool(version_digest a, version_digest b) const
{
    auto const first = pool_of(a);
    auto const second = pool_of(b);
    return !first || !second || *first == *second;
}

bool origin_archive::has_changed_target(version_digest version,
                                        std::vector<id_digest> const& ids) const
{
    auto const pool = pool_of(version);
    if (!pool)
    {
        return false;
    }
    auto const& targets = pools_.at(*pool).targets_;
    return std::any_of(targets.begin(), targets.end(),
                       [&](auto const& target)
                       {
                           return target.second != version &&
                                  std::binary_search(ids.begin(), ids.end(),
                                                     target.first);
                       });
}

std::set<version_digest>
origin_archive::known_versions(base::time_point now) const
{
    std::set<version_digest> out;
    for (auto const& [id, p] : pools_)
    {
        for (auto const& version : p.serving_)
        {
            out.insert(digest_of(id, version));
        }
        for (auto const& [version, left_at] : p.left_)
        {
            if (now - left_at <= retention)
            {
                out.insert(digest_of(id, version));
            }
        }
    }
    return out;
}

std::vector<id_digest> origin_archive::target_ids() const
{
    std::vector<id_digest> out;
    for (auto const& [id, p] : pools_)
    {
        for (auto const& [target, version] : p.targets_)
        {
            out.push_back(target);
        }
    }
    return out;
}

void origin_archive::write_at_once(base::pool_id const& pool,
                                   base::time_point now)
{
    auto const found = pools_.find(pool);
    if (found != pools_.end() && !found->second.unwritten_.empty())
    {
        write_at_ = std::min(write_at_, std::max(now, not_before_));
    }
}

bool origin_archive::is_kept(base::pool_id const& pool,
                             base::time_point until) const
{
    auto const found = pools_.find(pool);
    if (found != pools_.end())
    {
        auto const& unwritten = found->second.unwritten_;
        if (std::any_of(unwritten.begin(), unwritten.end(),
                        [until](auto const& origin)
                        { return origin.first <= until; }))
        {
            return false;
        }
    }
    return std::none_of(in_flight_.begin(), in_flight_.end(),
                        [&](auto const& written)
                        {
                            return std::any_of(
                                written.second.begin(), written.second.end(),
                                [&](written_origin const& each) {
                                    return each.pool_ == pool &&
                                           each.begun_at_ <= until;
                                });
                        });
}

// Origins that are written twice are the same both times.
void origin_archive::on_failed(batch_number failed, base::time_point now)
{
    auto const unkept = in_flight_.extract(failed);
    if (unkept.empty())
    {
        return;
    }
    not_before_ = now + retry_pause;
    auto const& origins = unkept.mapped();
    for (auto at = origins.rbegin(); at != origins.rend(); ++at)
    {
        auto const found = pools_.find(at->pool_);
        if (found != pools_.end() && now - at->begun_at_ <= retention)
        {
            found->second.unwritten_.emplace_front(at->begun_at_, at->origin_);
            schedule(found->second, now);
        }
    }
}

std::vector<origin_archive::batch>
origin_archive::take_due(base::time_point now)
{
    std::vector<batch> out;
    if (now < write_at_)
    {
        return out;
    }
    write_at_ = base::time_point::max();
    for (auto& [id, p] : pools_)
    {
        if (!keeps(p, now))
        {
            continue;
        }
        for (auto const& [at, origin] : p.unwritten_)
        {
            if (out.empty() ||
                out.back().origins_.size() == stream_message::max_items)
            {
                last_batch_ =
                    batch_number{static_cast<std::uint64_t>(last_batch_) + 1};
                out.emplace_back().number_ = last_batch_;
            }
            out.back().origins_.push_back(origin);
            in_flight_[last_batch_].push_back({id, at, origin});
        }
        p.unwritten_.clear();
    }
    return out;
}

} // namespace tanagerlead::routing
