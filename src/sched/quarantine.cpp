#include "src/sched/quarantine.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

/// Losses at one target closer than this are one death.
constexpr base::duration same_death = 2s;
/// Stands for a request without a fingerprint.
constexpr std::uint64_t no_fingerprint = 0;

base::duration apart(base::time_point a, base::time_point b)
{
    return a < b ? b - a : a - b;
}

} // namespace

void quarantine::add_death(record& r, death const& d)
{
    auto const seen =
        std::any_of(r.deaths_.begin(), r.deaths_.end(),
                    [&](auto const& known) {
                        return known.target_ == d.target_ &&
                               apart(known.at_, d.at_) < same_death;
                    });
    if (seen || d.at_ <= r.cleared_)
    {
        return;
    }
    r.deaths_.push_back(d);
    r.changed_ = std::max(r.changed_, d.at_);
    if (r.deaths_.size() > deaths_for_quarantine)
    {
        r.deaths_.erase(std::min_element(r.deaths_.begin(), r.deaths_.end(),
                                         [](auto const& a, auto const& b)
                                         { return a.at_ < b.at_; }));
    }
}

void quarantine::clear(record& r, base::time_point at)
{
    if (at <= r.cleared_)
    {
        return;
    }
    r.cleared_ = at;
    r.changed_ = std::max(r.changed_, at);
    std::erase_if(r.deaths_, [&](auto const& d) { return d.at_ <= at; });
}

void quarantine::make_room()
{
    if (records_.size() < most_suspicions)
    {
        return;
    }
    auto const oldest =
        std::min_element(records_.begin(), records_.end(),
                         [](auto const& a, auto const& b)
                         {
                             return a.second.changed_ != b.second.changed_
                                        ? a.second.changed_ < b.second.changed_
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
        make_room();
    }
    add_death(records_[fingerprint], {target, now});
}

void quarantine::on_finished(std::uint64_t fingerprint, base::time_point now)
{
    auto const found = records_.find(fingerprint);
    if (found != records_.end())
    {
        clear(found->second, now);
    }
}

bool quarantine::suspect(std::uint64_t fingerprint, base::time_point now) const
{
    auto const found = records_.find(fingerprint);
    return found != records_.end() && !found->second.deaths_.empty() &&
           now - found->second.changed_ < quarantine_time;
}

base::duration quarantine::remaining(std::uint64_t fingerprint,
                                     base::time_point now) const
{
    auto const found = records_.find(fingerprint);
    if (found == records_.end() ||
        found->second.deaths_.size() < deaths_for_quarantine)
    {
        return base::duration::zero();
    }
    auto const left = found->second.changed_ + quarantine_time - now;
    return std::max(left, base::duration::zero());
}

bool quarantine::blocked(std::uint64_t fingerprint, base::time_point now) const
{
    return remaining(fingerprint, now) > base::duration::zero();
}

std::vector<suspicion> quarantine::export_suspicions(base::time_point now,
                                                     std::size_t most) const
{
    std::vector<std::pair<base::time_point, std::uint64_t>> newest;
    for (auto const& [fingerprint, r] : records_)
    {
        if (now - r.changed_ < quarantine_time)
        {
            newest.emplace_back(r.changed_, fingerprint);
        }
    }
    std::sort(newest.rbegin(), newest.rend());
    newest.resize(std::min(newest.size(), most));
    std::vector<suspicion> exported;
    for (auto const& [changed, fingerprint] : newest)
    {
        auto const& r = records_.at(fingerprint);
        suspicion s{fingerprint, {}, base::duration{-1}};
        for (auto const& d : r.deaths_)
        {
            s.deaths_.push_back({d.target_, now - d.at_});
        }
        if (r.cleared_ != base::time_point::min())
        {
            s.cleared_age_ = now - r.cleared_;
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
        make_room();
    }
    auto& r = records_[s.fingerprint_];
    for (auto const& d : s.deaths_)
    {
        add_death(r, {d.target_, now - d.age_});
    }
    if (s.cleared_age_ >= base::duration::zero())
    {
        clear(r, now - s.cleared_age_);
    }
}

void quarantine::import_suspicions(std::vector<suspicion> const& suspicions,
                                   base::time_point now)
{
    auto const count = std::min(suspicions.size(), most_suspicions);
    for (std::size_t i = 0; i < count; ++i)
    {
        merge(suspicions[i], now);
    }
}

} // namespace tanagerlead::sched
