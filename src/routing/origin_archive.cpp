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
        write_at_ = std::min(write_at_, now + interval());
    }
}

// Streams that began just before the first target of another version came are
// written as well.
void origin_archive::set_targets(std::vector<target_info> const& targets,
                                 base::time_point now)
{
    std::map<base::pool_id, std::set<base::software_version>> serving;
    for (auto const& info : targets)
    {
        serving[info.pool_].insert(info.version_);
        pools_.try_emplace(info.pool_);
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
                              base::time_point now)
{
    auto const found = pools_.find(pool);
    if (found == pools_.end() || origin.version_ == unknown_version)
    {
        return;
    }
    auto& p = found->second;
    p.unwritten_.emplace_back(now, origin);
    while (now - p.unwritten_.front().first > retention)
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

std::vector<stream_message> origin_archive::take_due(base::time_point now)
{
    std::vector<stream_message> out;
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
                out.emplace_back();
            }
            out.back().origins_.push_back(origin);
        }
        p.unwritten_.clear();
    }
    return out;
}

} // namespace tanagerlead::routing
