#include "src/sched/quarantine.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

/// Losses at one target that are closer together than this are one crash.
constexpr base::duration same_crash_window = 2s;
/// Fingerprint of requests that have none.
constexpr std::uint64_t no_fingerprint = 0;

base::duration abs_difference(base::time_point a, base::time_point b)
{
    return a < b ? b - a : a - b;
}

} // namespace

void quarantine::add_crash(record& r, crash const& d)
{
    auto const seen = std::any_of(r.crashes_.begin(), r.crashes_.end(),
                                  [&](auto const& known)
                                  {
                                      return known.target_ == d.target_ &&
                                             abs_difference(known.at_, d.at_) <
                                                 same_crash_window;
                                  });
    if (seen || d.at_ <= r.cleared_at_)
    {
        return;
    }
    r.crashes_.push_back(d);
    r.changed_at_ = std::max(r.changed_at_, d.at_);
    if (r.crashes_.size() > crashes_for_quarantine)
    {
        r.crashes_.erase(std::min_element(r.crashes_.begin(), r.crashes_.end(),
                                          [](auto const& a, auto const& b)
                                          { return a.at_ < b.at_; }));
    }
}

void quarantine::clear(record& r, base::time_point at)
{
    if (at <= r.cleared_at_)
    {
        return;
    }
    r.cleared_at_ = at;
    r.changed_at_ = std::max(r.changed_at_, at);
    std::erase_if(r.crashes_, [&](auto const& d) { return d.at_ <= at; });
}

void quarantine::evict_oldest()
{
    if (records_.size() < max_suspicions)
    {
        return;
    }
    auto const oldest = std::min_element(
        records_.begin(), records_.end(),
        [](auto const& a, auto const& b)
        {
            return a.second.changed_at_ != b.second.changed_at_
                       ? a.second.changed_at_ < b.second.changed_at_
                       : a.first < b.first;
        });
    records_.erase(oldest);
}

void quarantine::on_target_lost(std::uint64_t fingerprint,
                                base::target_id const& target,
                                base::time_point now)
{
    if (fingerprint == no_fingerprint)
    {
        return;
    }
    if (!records_.contains(fingerprint))
    {
        evict_oldest();
    }
    add_crash(records_[fingerprint], {target, now});
}

void quarantine::on_finished(std::uint64_t fingerprint, base::time_point now)
{
    auto const found = records_.find(fingerprint);
    if (found != records_.end())
    {
        clear(found->second, now);
    }
}

bool quarantine::is_suspect(std::uint64_t fingerprint,
                            base::time_point now) const
{
    auto const found = records_.find(fingerprint);
    return found != records_.end() && !found->second.crashes_.empty() &&
           now - found->second.changed_at_ < quarantine_duration;
}

base::duration quarantine::remaining(std::uint64_t fingerprint,
                                     base::time_point now) const
{
    auto const found = records_.find(fingerprint);
    if (found == records_.end() ||
        found->second.crashes_.size() < crashes_for_quarantine)
    {
        return base::duration::zero();
    }
    auto const left = found->second.changed_at_ + quarantine_duration - now;
    return std::max(left, base::duration::zero());
}

bool quarantine::is_blocked(std::uint64_t fingerprint,
                            base::time_point now) const
{
    return remaining(fingerprint, now) > base::duration::zero();
}

std::vector<suspicion>
quarantine::export_suspicions(base::time_point now, std::size_t max_count) const
{
    std::vector<std::pair<base::time_point, std::uint64_t>> newest;
    for (auto const& [fingerprint, r] : records_)
    {
        if (now - r.changed_at_ < quarantine_duration)
        {
            newest.emplace_back(r.changed_at_, fingerprint);
        }
    }
    std::sort(newest.rbegin(), newest.rend());
    newest.resize(std::min(newest.size(), max_count));
    std::vector<suspicion> exported;
    for (auto const& [changed, fingerprint] : newest)
    {
        auto const& r = records_.at(fingerprint);
        suspicion s{fingerprint, {}, base::duration{-1}};
        for (auto const& d : r.crashes_)
        {
            s.crashes_.push_back({d.target_, now - d.at_});
        }
        if (r.cleared_at_ != base::time_point::min())
        {
            s.cleared_age_ = now - r.cleared_at_;
        }
        exported.push_back(std::move(s));
    }
    return exported;
}

void quarantine::merge(suspicion const& s, base::time_point now)
{
    if (s.fingerprint_ == no_fingerprint)
    {
        return;
    }
    if (!records_.contains(s.fingerprint_))
    {
        evict_oldest();
    }
    auto& r = records_[s.fingerprint_];
    for (auto const& d : s.crashes_)
    {
        add_crash(r, {d.target_, now - d.age_});
    }
    if (s.cleared_age_ >= base::duration::zero())
    {
        clear(r, now - s.cleared_age_);
    }
}

void quarantine::import_suspicions(std::vector<suspicion> const& suspicions,
                                   base::time_point now)
{
    auto const count = std::min(suspicions.size(), max_suspicions);
    for (std::size_t i = 0; i < count; ++i)
    {
        merge(suspicions[i], now);
    }
}

} // namespace tanagerlead::sched
