#include "src/routing/stream_starts.hpp"

#include <algorithm>
#include <iterator>

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

bool stream_starts::may_begin(stream_start const& start, base::time_point now)
{
    auto const [at, is_new] = starts_.try_emplace(start);
    auto& used = at->second;
    used.last_used_ = now;
    if (is_new)
    {
        on_changed(now);
        used.first_wanted_ = now;
        used.added_in_ = current_;
    }
    auto const is_kept = used.added_in_ <= kept_;
    if (!is_kept && !used.is_late_ && now - used.first_wanted_ >= max_wait)
    {
        used.is_late_ = true;
        ++late_count_;
    }
    return is_kept || used.is_late_;
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
    if (taken_ == current_)
    {
        return std::nullopt;
    }
    taken_ = current_;
    update out{current_, {}};
    auto& list = out.list_;
    list.is_complete_ = starts_.size() <= stream_start_list::max_items;
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
    return taken_ == current_ ? check_at_ : base::time_point::min();
}

} // namespace tanagerlead::routing
