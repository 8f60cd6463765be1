#include "src/routing/stream_starts.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tanagerlead::routing
{

namespace
{

stream_starts::revision next(stream_starts::revision r)
{
    return stream_starts::revision{static_cast<std::uint64_t>(r) + 1};
}

std::set<version_digest> candidates(std::vector<stream_start> const& starts,
                                    std::string_view host,
                                    std::string_view path)
{
    std::set<version_digest> out;
    for (auto const& start : starts)
    {
        if (start.matches(host, path))
        {
            out.insert(start.version_);
        }
    }
    return out;
}

} // namespace

std::optional<version_digest>
sole_version(std::vector<stream_start> const& starts, std::string_view host,
             std::string_view path)
{
    auto const versions = candidates(starts, host, path);
    return versions.size() == 1 ? std::optional{*versions.begin()}
                                : std::nullopt;
}

origin_gap gap_of(std::vector<stream_start> const& starts,
                  std::string_view host, std::string_view path)
{
    switch (candidates(starts, host, path).size())
    {
    case 0:
        return origin_gap::no_start;
    case 1:
        return origin_gap::none;
    default:
        return origin_gap::several_versions;
    }
}

bool stream_start_list::names(version_digest version) const
{
    return std::any_of(starts_.begin(), starts_.end(),
                       [version](stream_start const& start)
                       { return start.version_ == version; });
}

bool stream_starts::may_begin(stream_start const& start, base::time_point now,
                              bool may_be_late)
{
    add(start, now, now);
    auto& used = starts_.at(start);
    used.last_used_ = now;
    if (is_kept(used))
    {
        return true;
    }
    if (!may_be_late || now - used.first_wanted_ < max_wait)
    {
        return false;
    }
    if (!std::exchange(used.is_late_, true))
    {
        ++late_count_;
    }
    use(start.version_, now);
    return true;
}

void stream_starts::add(stream_start const& start, base::time_point since,
                        base::time_point now)
{
    auto const [at, is_new] = starts_.try_emplace(start);
    if (is_new)
    {
        on_changed(now);
        at->second = {since, now, current_};
    }
}

// The kept list names a version only while it has such a start, which therefore
// must not be dropped while streams of other routes begin at the version.
void stream_starts::use(version_digest version, base::time_point now)
{
    for (auto& [start, used] : starts_)
    {
        if (start.version_ == version)
        {
            used.last_used_ = now;
        }
    }
}

bool stream_starts::is_overdue(stream_start const& start,
                               base::time_point now) const
{
    auto const found = starts_.find(start);
    return found != starts_.end() && !is_kept(found->second) &&
           now - found->second.first_wanted_ >= max_wait;
}

bool stream_starts::names(version_digest version) const
{
    return std::any_of(starts_.begin(), starts_.end(),
                       [&](auto const& entry) {
                           return entry.first.version_ == version &&
                                  is_kept(entry.second);
                       });
}

bool stream_starts::lists(version_digest version) const
{
    return std::any_of(starts_.begin(), starts_.end(),
                       [&](auto const& entry)
                       { return entry.first.version_ == version; });
}

std::set<version_digest>
stream_starts::overlapping(stream_start const& start) const
{
    std::set<version_digest> out;
    for (auto const& [other, used] : starts_)
    {
        if (other.version_ != start.version_ &&
            (other.matches(start.host_, start.prefix_) ||
             start.matches(other.host_, other.prefix_)))
        {
            out.insert(other.version_);
        }
    }
    return out;
}

std::set<version_digest> stream_starts::versions() const
{
    std::set<version_digest> out;
    for (auto const& [start, used] : starts_)
    {
        out.insert(start.version_);
    }
    return out;
}

void stream_starts::retire(std::set<version_digest> const& known,
                           base::time_point now)
{
    auto const dropped =
        std::erase_if(starts_,
                      [&](auto const& entry)
                      {
                          return now - entry.second.last_used_ >= retention &&
                                 !known.contains(entry.first.version_);
                      });
    if (dropped > 0)
    {
        on_changed(now);
    }
}

void stream_starts::set_targets(std::vector<id_digest> targets,
                                base::time_point now)
{
    std::sort(targets.begin(), targets.end());
    if (!starts_.empty() && !std::includes(targets_.begin(), targets_.end(),
                                           targets.begin(), targets.end()))
    {
        refresh_at_ = std::min(refresh_at_, now + target_refresh);
    }
    targets_ = std::move(targets);
}

void stream_starts::on_kept(revision written)
{
    kept_ = std::max(kept_, written);
}

// Routes whose paths overlap are neighbours, in the order of their prefixes.
void stream_starts::on_changed(base::time_point now)
{
    current_ = next(current_);
    ambiguous_.clear();
    for (auto at = starts_.begin(); at != starts_.end(); ++at)
    {
        auto const& outer = at->first;
        for (auto inner = std::next(at);
             inner != starts_.end() &&
             outer.matches(inner->first.host_, inner->first.prefix_);
             ++inner)
        {
            if (inner->first.version_ != outer.version_)
            {
                ambiguous_.insert({outer.version_, inner->first.version_});
            }
        }
    }
    check_at_ =
        ambiguous_.empty() ? base::time_point::max() : now + check_interval;
}

// Starts that hide no other version stay, since a route that is used seldom
// would otherwise be written again each time.
void stream_starts::drop_unused(base::time_point now)
{
    check_at_ = now + check_interval;
    auto const dropped =
        std::erase_if(starts_,
                      [&](auto const& entry)
                      {
                          return now - entry.second.last_used_ >= retention &&
                                 ambiguous_.contains(entry.first.version_);
                      });
    if (dropped > 0)
    {
        on_changed(now);
    }
}

std::optional<stream_starts::update>
stream_starts::take_due(base::time_point now)
{
    if (now >= check_at_)
    {
        drop_unused(now);
    }
    if (now >= refresh_at_)
    {
        on_changed(now);
    }
    if (taken_ == current_)
    {
        return std::nullopt;
    }
    taken_ = current_;
    refresh_at_ = base::time_point::max();
    update out{current_, {}};
    auto& list = out.list_;
    list.is_complete_ = starts_.size() <= stream_start_list::max_items;
    if (targets_.size() <= stream_start_list::max_targets)
    {
        list.writer_ = self_;
        list.targets_ = targets_;
    }
    if (list.is_complete_)
    {
        for (auto const& [start, used] : starts_)
        {
            list.starts_.push_back(start);
        }
    }
    return out;
}

base::time_point stream_starts::next_wakeup() const
{
    return taken_ == current_ ? std::min(check_at_, refresh_at_)
                              : base::time_point::min();
}

} // namespace tanagerlead::routing
