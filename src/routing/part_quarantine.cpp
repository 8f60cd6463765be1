#include "src/routing/part_quarantine.hpp"

#include <algorithm>
#include <cassert>
#include <optional>
#include <tuple>

namespace tanagerlead::routing
{

using namespace std::chrono_literals;

namespace
{

/// Proofs are reported for this long after the last crash of their part.
constexpr base::duration proof_report_time = 10s;

/// The item with the least time between its neighbours. Without it the others
/// still span the same time.
template <class Items>
auto find_closest(Items const& items)
{
    auto closest = items.begin() + 1;
    for (auto i = closest; i + 1 != items.end(); ++i)
    {
        if ((i + 1)->at_ - (i - 1)->at_ <
            (closest + 1)->at_ - (closest - 1)->at_)
        {
            closest = i;
        }
    }
    return closest;
}

/// Rank of a daemon for the trials of a part.
std::uint64_t weight_of(prompt_part part, peer_ip daemon)
{
    return rendezvous_rank(daemon, static_cast<std::uint64_t>(part));
}

std::uint32_t age_in_ms(base::time_point now, base::time_point at)
{
    return static_cast<std::uint32_t>(
        std::max(0.0, base::milliseconds(now - at)));
}

base::time_point time_before(base::time_point now, std::uint32_t age_ms)
{
    return now - std::chrono::milliseconds{age_ms};
}

} // namespace

base::time_point part_quarantine::record::last_crash() const
{
    return crashes_.empty() ? base::time_point::min() : crashes_.back().at_;
}

base::time_point part_quarantine::proved_at(prompt_part part,
                                            id_digest pool) const
{
    auto const known = proofs_.find(part);
    if (known == proofs_.end())
    {
        return base::time_point::min();
    }
    auto const& proofs = known->second;
    auto const found =
        std::find_if(proofs.begin(), proofs.end(),
                     [&](proof const& p) { return p.pool_ == pool; });
    return found == proofs.end() ? base::time_point::min() : found->at_;
}

void part_quarantine::on_crash(id_digest target, id_digest pool,
                               std::uint32_t request, prompt_parts const& parts,
                               base::time_point at)
{
    std::uint8_t place = 0;
    for (auto const part : parts)
    {
        add(part, place, {target, pool, request, at, true});
        place += place < 255 ? 1 : 0;
    }
}

void part_quarantine::on_proof(id_digest pool, prompt_parts const& parts,
                               base::time_point now)
{
    for (auto const part : parts)
    {
        add(part, {pool, now});
    }
}

void part_quarantine::on_reported(part_crash const& c, base::time_point now)
{
    auto const at = time_before(now, c.age_ms_);
    if (now - at >= quarantine_duration)
    {
        return;
    }
    add(c.part_, c.place_, {c.target_, c.pool_, c.request_, at, false});
    records_.at(c.part_).reported_at_ = now;
    newest_report_ = now;
}

void part_quarantine::on_reported(part_proof const& p, base::time_point now)
{
    add(p.part_, {p.pool_, time_before(now, p.age_ms_)});
}

void part_quarantine::add(prompt_part part, std::uint8_t place, crash const& c)
{
    if (!records_.contains(part))
    {
        evict_oldest_record();
    }
    auto& r = records_[part];
    auto& known = r.crashes_;
    // A crash after the end of a quarantine begins anew.
    if (c.at_ > r.last_crash() + quarantine_duration)
    {
        known.clear();
    }
    auto const same = std::find_if(known.begin(), known.end(),
                                   [&](crash const& k) {
                                       return k.target_ == c.target_ &&
                                              k.request_ == c.request_;
                                   });
    if (same != known.end())
    {
        return;
    }
    r.place_ = place;
    known.insert(std::upper_bound(known.begin(), known.end(), c,
                                  [](crash const& a, crash const& b)
                                  { return a.at_ < b.at_; }),
                 c);
    if (known.size() > max_crashes)
    {
        known.erase(find_closest(known));
    }
    newest_crash_ = std::max(newest_crash_, c.at_);
    // Failures of many targets bring many suspects, nearly all of them sound.
    if (quarantined_.contains(part) ||
        weigh(*records_.find(part), {}).is_enough())
    {
        judge();
    }
}

void part_quarantine::add(prompt_part part, proof const& p)
{
    if (!proofs_.contains(part))
    {
        evict_old_proofs();
    }
    auto& proofs = proofs_[part];
    auto const same =
        std::find_if(proofs.begin(), proofs.end(),
                     [&](proof const& k) { return k.pool_ == p.pool_; });
    if (same != proofs.end())
    {
        same->at_ = std::max(same->at_, p.at_);
    }
    else
    {
        if (proofs.size() >= max_proofs)
        {
            proofs.erase(proofs.begin());
        }
        proofs.push_back(p);
    }
    if (quarantined_.contains(part))
    {
        judge();
    }
}

void part_quarantine::evict_oldest_record()
{
    if (records_.size() < max_parts)
    {
        return;
    }
    auto const age_rank = [this](entry const& e)
    {
        return std::tuple{quarantined_.contains(e.first), e.second.last_crash(),
                          e.first};
    };
    auto const oldest = std::min_element(records_.begin(), records_.end(),
                                         [&](entry const& a, entry const& b)
                                         { return age_rank(a) < age_rank(b); });
    static_assert(max_quarantined < max_parts);
    assert(!quarantined_.contains(oldest->first));
    records_.erase(oldest);
}

// Drops the older half, so that most calls have nothing to do.
void part_quarantine::evict_old_proofs()
{
    if (proofs_.size() < max_proved_parts)
    {
        return;
    }
    std::vector<base::time_point> times;
    times.reserve(proofs_.size());
    for (auto const& [part, proofs] : proofs_)
    {
        times.push_back(proofs.back().at_);
    }
    auto const middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    absl::erase_if(proofs_, [&](auto const& each)
                   { return each.second.back().at_ <= *middle; });
}

part_quarantine::weight
part_quarantine::weigh(entry const& suspect,
                       absl::flat_hash_set<id_digest> const& explained) const
{
    auto const& [part, r] = suspect;
    weight out;
    out.part_ = part;
    out.place_ = r.place_;
    out.is_new_ = true;
    auto counted_at = base::time_point::min();
    auto last_at = base::time_point::min();
    std::vector<std::uint32_t> requests;
    for (auto const& c : r.crashes_)
    {
        auto const proved = proved_at(part, c.pool_);
        out.is_new_ = out.is_new_ && proved == base::time_point::min();
        if (c.is_trial() || c.at_ <= proved || explained.contains(c.target_))
        {
            continue;
        }
        requests.push_back(c.request_);
        if (out.crashes_ == 0 || c.at_ - counted_at >= min_crash_distance)
        {
            ++out.crashes_;
            counted_at = c.at_;
        }
        if (out.failures_ == 0 || c.at_ - last_at >= same_failure_distance)
        {
            ++out.failures_;
        }
        last_at = c.at_;
    }
    std::sort(requests.begin(), requests.end());
    requests.erase(std::unique(requests.begin(), requests.end()),
                   requests.end());
    out.requests_ = requests.size();
    return out;
}

// Takes the part that explains most crashes, then the one that explains most of
// the others, and so on.
void part_quarantine::judge()
{
    auto const before = quarantined_;
    quarantined_.clear();
    explained_.clear();
    while (quarantined_.size() < max_quarantined)
    {
        std::optional<weight> worst;
        for (auto const& suspect : records_)
        {
            if (suspect.second.crashes_.size() < requests_for_quarantine)
            {
                continue;
            }
            auto const found = weigh(suspect, explained_);
            if (found.is_enough() && (!worst || found > *worst))
            {
                worst = found;
            }
        }
        if (!worst)
        {
            break;
        }
        quarantined_.insert(worst->part_);
        for (auto const& c : records_.at(worst->part_).crashes_)
        {
            if (is_open(worst->part_, c) && !c.is_trial())
            {
                explained_.insert(c.target_);
            }
        }
    }
    revision_ += quarantined_ != before ? 1 : 0;
}

bool part_quarantine::does_block(prompt_part part, id_digest pool,
                                 base::time_point now) const
{
    if (!quarantined_.contains(part))
    {
        return false;
    }
    auto const& r = records_.at(part);
    auto const runs_well =
        proved_at(part, pool) > now - quarantine_duration &&
        std::none_of(r.crashes_.begin(), r.crashes_.end(),
                     [&](crash const& c)
                     { return c.pool_ == pool && is_open(part, c); });
    return now - r.last_crash() < quarantine_duration && !runs_well;
}

bool part_quarantine::is_blocked(id_digest pool, prompt_parts const& parts,
                                 base::time_point now) const
{
    return !quarantined_.empty() &&
           std::any_of(parts.begin(), parts.end(),
                       [&](prompt_part part)
                       { return does_block(part, pool, now); });
}

std::size_t part_quarantine::open_trials(prompt_part part,
                                         record const& r) const
{
    return static_cast<std::size_t>(std::count_if(
        r.crashes_.begin(), r.crashes_.end(),
        [&](crash const& c) { return c.is_trial() && is_open(part, c); }));
}

bool part_quarantine::is_trial_due(prompt_part part, base::time_point now) const
{
    auto const& r = records_.at(part);
    auto const trials = open_trials(part, r);
    if (trials >= trial_delays.size())
    {
        return false;
    }
    auto const due = r.last_crash() + trial_delays.at(trials);
    if (now < due)
    {
        return false;
    }
    auto const own = weight_of(part, self_);
    std::int64_t before = 0;
    auto is_listed = false;
    for (auto const each : daemons_)
    {
        is_listed = is_listed || each == self_;
        before += weight_of(part, each) > own ? 1 : 0;
    }
    // Twice as many daemons after each interval.
    auto const doublings =
        std::min<std::int64_t>((now - due) / trial_takeover_time, 32);
    return is_listed && before < std::int64_t{1} << doublings;
}

bool part_quarantine::may_try(id_digest pool, prompt_parts const& parts,
                              base::time_point now) const
{
    return std::all_of(parts.begin(), parts.end(),
                       [&](prompt_part part) {
                           return !does_block(part, pool, now) ||
                                  is_trial_due(part, now);
                       });
}

void part_quarantine::on_trial(id_digest pool, prompt_parts const& parts,
                               base::time_point now)
{
    for (auto const part : parts)
    {
        if (does_block(part, pool, now))
        {
            auto const request = static_cast<std::uint32_t>(rendezvous_rank(
                self_,
                static_cast<std::uint64_t>(now.time_since_epoch().count())));
            add(part, records_.at(part).place_,
                {trial_target, pool, request, now, true});
        }
    }
}

prompt_parts part_quarantine::quarantined(base::time_point now) const
{
    prompt_parts out;
    for (auto const part : quarantined_)
    {
        if (now - records_.at(part).last_crash() < quarantine_duration)
        {
            out.push_back(part);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<part_crash>
part_quarantine::reported_crashes(base::time_point now, base::duration max_age,
                                  bool with_quarantined) const
{
    std::vector<part_crash> out;
    auto const has_news = now - newest_crash_ <= max_age;
    if (!has_news && (!with_quarantined || quarantined_.empty()))
    {
        return out;
    }
    for (auto const& [part, r] : records_)
    {
        auto const repeats = with_quarantined && quarantined_.contains(part);
        for (auto const& c : r.crashes_)
        {
            auto const is_news = c.is_own_ && now - c.at_ <= max_age;
            if (is_news || (repeats && is_open(part, c) &&
                            now - c.at_ < quarantine_duration))
            {
                out.push_back({part, c.request_, c.target_, c.pool_, r.place_,
                               age_in_ms(now, c.at_)});
            }
        }
    }
    std::sort(out.begin(), out.end(),
              [](part_crash const& a, part_crash const& b)
              {
                  return std::tuple{b.age_ms_, a.part_, a.request_} <
                         std::tuple{a.age_ms_, b.part_, b.request_};
              });
    return out;
}

std::vector<part_proof>
part_quarantine::reported_proofs(base::time_point now) const
{
    std::vector<part_proof> out;
    if (now - newest_crash_ > proof_report_time &&
        now - newest_report_ > news_time)
    {
        return out;
    }
    for (auto const& [part, r] : records_)
    {
        auto const proofs = proofs_.find(part);
        // Another daemon may be one crash short of a quarantine, or past it.
        auto const is_suspected =
            r.crashes_.size() + 1 >= requests_for_quarantine &&
            (now - r.last_crash() <= proof_report_time ||
             now - r.reported_at_ <= news_time);
        if (!is_suspected || proofs == proofs_.end())
        {
            continue;
        }
        for (auto const& p : proofs->second)
        {
            out.push_back({part, p.pool_, age_in_ms(now, p.at_)});
        }
    }
    std::sort(out.begin(), out.end(),
              [](part_proof const& a, part_proof const& b) {
                  return std::tuple{a.age_ms_, a.part_} <
                         std::tuple{b.age_ms_, b.part_};
              });
    return out;
}

} // namespace tanagerlead::routing
