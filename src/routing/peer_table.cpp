#include "src/routing/peer_table.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <numeric>

namespace tanagerlead::routing
{

base::duration peer_table::peer::silence_limit() const
{
    return std::max<base::duration>(
        silence_timeout, std::chrono::milliseconds{static_cast<int>(
                             silence_intervals * last_.interval_ms_)});
}

std::vector<spent_units> peer_table::difference(peer_report const& before,
                                                peer_report const& after)
{
    std::vector<spent_units> out;
    for (auto const& spent : after.spent_)
    {
        auto const known =
            std::find_if(before.spent_.begin(), before.spent_.end(),
                         [&](spent_units const& s)
                         { return s.workspace_ == spent.workspace_; });
        auto const units = known == before.spent_.end()
                               ? spent.units_
                               : spent.units_ - known->units_;
        if (units != 0)
        {
            out.push_back({spent.workspace_, units});
        }
    }
    return out;
}

void peer_table::count(peer_report const& report, int sign)
{
    for (auto const& usage : report.in_flight_)
    {
        auto const entry = in_flight_.try_emplace(usage.target_, 0).first;
        entry->second += sign * usage.in_flight_;
        if (entry->second == 0)
        {
            in_flight_.erase(entry);
        }
    }
    absl::flat_hash_set<id_digest> pools;
    for (auto const& w : report.waiting_)
    {
        if (w.tier_ < base::max_tiers)
        {
            waiting_[w.pool_].at(w.tier_) += sign * w.count_;
            pools.insert(w.pool_);
        }
    }
    for (auto const pool : pools)
    {
        daemons_waiting_[pool] += sign;
    }
}

void peer_table::set_counted(peer& p, bool counted)
{
    if (p.counted_ != counted)
    {
        count(p.last_, counted ? 1 : -1);
        p.counted_ = counted;
    }
}

peer_table::report_delta peer_table::on_report(peer_ip from,
                                               peer_report const& report,
                                               base::time_point now)
{
    report_delta out;
    auto& p = peers_[from];
    auto const same_incarnation =
        p.reported_ && p.last_.incarnation_ == report.incarnation_;
    if (same_incarnation && report.sequence_number_ <= p.last_.sequence_number_)
    {
        return out;
    }
    out.is_new_ = true;
    out.is_new_incarnation_ = !same_incarnation;
    set_counted(p, false);
    auto fresh = report;
    // Units that a daemon spent before its first report are not known to be
    // recent, so they are not counted.
    if (same_incarnation)
    {
        out.spent_deltas_ = difference(p.last_, report);
        // A workspace that is missing from the report keeps its last total.
        for (auto const& old : p.last_.spent_)
        {
            auto const told =
                std::any_of(report.spent_.begin(), report.spent_.end(),
                            [&](spent_units const& s)
                            { return s.workspace_ == old.workspace_; });
            if (!told)
            {
                fresh.spent_.push_back(old);
            }
        }
    }
    p.last_ = std::move(fresh);
    p.reported_ = true;
    p.is_member_ = true;
    p.last_heard_ = now;
    set_counted(p, true);
    return out;
}

void peer_table::on_mentioned(peer_ip daemon, base::time_point now)
{
    auto& p = peers_[daemon];
    p.last_mentioned_ = now;
    p.is_member_ = true;
}

void peer_table::on_seed(peer_ip daemon, base::time_point now)
{
    peers_[daemon].last_mentioned_ = now;
}

void peer_table::on_listed(std::vector<peer_ip> const& daemons,
                           base::time_point now)
{
    for (auto const daemon : daemons)
    {
        on_mentioned(daemon, now);
    }
}

void peer_table::refresh(base::time_point now)
{
    for (auto& [ip, p] : peers_)
    {
        set_counted(p, p.is_heard(now));
    }
    absl::erase_if(peers_,
                   [&](auto const& entry)
                   {
                       auto const& p = entry.second;
                       return !p.counted_ &&
                              now - std::max(p.last_heard_, p.last_mentioned_) >
                                  retention;
                   });
}

int peer_table::in_flight_elsewhere(id_digest target) const
{
    auto const found = in_flight_.find(target);
    return found == in_flight_.end() ? 0 : found->second;
}

int peer_table::waiting_in_first(id_digest pool, std::size_t tiers) const
{
    auto const found = waiting_.find(pool);
    if (found == waiting_.end())
    {
        return 0;
    }
    auto const begin = found->second.begin();
    auto const count =
        static_cast<std::ptrdiff_t>(std::min(tiers, base::max_tiers));
    return std::accumulate(begin, begin + count, 0);
}

int peer_table::waiting_above(id_digest pool, base::tier tier) const
{
    return waiting_in_first(pool, base::index(tier));
}

int peer_table::waiting_up_to(id_digest pool, base::tier tier) const
{
    return waiting_in_first(pool, base::index(tier) + 1);
}

int peer_table::daemons_waiting(id_digest pool) const
{
    auto const found = daemons_waiting_.find(pool);
    return found == daemons_waiting_.end() ? 0 : found->second;
}

std::vector<peer_ip> peer_table::known() const
{
    std::vector<peer_ip> out;
    out.reserve(peers_.size());
    for (auto const& [ip, p] : peers_)
    {
        out.push_back(ip);
    }
    return out;
}

std::optional<id_digest> peer_table::data_centre_of(peer_ip daemon) const
{
    auto const found = peers_.find(daemon);
    if (found == peers_.end() || !found->second.reported_)
    {
        return std::nullopt;
    }
    return found->second.last_.data_centre_;
}

std::vector<peer_ip> peer_table::heard(base::time_point now) const
{
    std::vector<peer_ip> out;
    for (auto const& [ip, p] : peers_)
    {
        if (p.is_heard(now))
        {
            out.push_back(ip);
        }
    }
    return out;
}

std::vector<peer_ip> peer_table::ready(std::optional<id_digest> data_centre,
                                       base::time_point now) const
{
    std::vector<peer_ip> out;
    for (auto const& [ip, p] : peers_)
    {
        auto const there = !data_centre || p.last_.data_centre_ == *data_centre;
        if (there && p.is_heard(now) && p.last_.state_ == daemon_state::ready)
        {
            out.push_back(ip);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<peer_ip> peer_table::reaching(id_digest pool,
                                          base::time_point now) const
{
    auto out = ready(std::nullopt, now);
    std::erase_if(
        out,
        [&](peer_ip daemon)
        {
            auto const& cut = peers_.at(daemon).last_.unreachable_pools_;
            return std::find(cut.begin(), cut.end(), pool) != cut.end();
        });
    return out;
}

std::vector<peer_ip> peer_table::serving(std::optional<id_digest> data_centre,
                                         base::time_point now) const
{
    auto out = ready(data_centre, now);
    std::erase_if(out,
                  [this](peer_ip daemon)
                  {
                      auto const& last = peers_.at(daemon).last_;
                      return last.role_ != daemon_role::serving ||
                             last.is_cut_off_;
                  });
    return out;
}

bool peer_table::is_working(peer_ip daemon) const
{
    auto const found = peers_.find(daemon);
    return found == peers_.end() || found->second.is_working();
}

double peer_table::heard_fraction(base::time_point now) const
{
    std::size_t heard = 1;
    std::size_t all = 1;
    for (auto const& [ip, p] : peers_)
    {
        if (!p.is_working())
        {
            continue;
        }
        heard += p.is_heard(now) ? 1 : 0;
        all += p.is_member_ ? 1 : 0;
    }
    return static_cast<double>(heard) / static_cast<double>(all);
}

std::vector<peer_ip> peer_table::working() const
{
    std::vector<peer_ip> out;
    for (auto const& [ip, p] : peers_)
    {
        if (p.reported_ && p.is_working() &&
            p.last_.state_ == daemon_state::ready)
        {
            out.push_back(ip);
        }
    }
    return out;
}

follower_position peer_table::position_of(peer_ip self,
                                          base::time_point now) const
{
    follower_position out;
    for (auto const& [ip, p] : peers_)
    {
        if (p.is_heard(now))
        {
            ++out.count_;
            out.index_ += ip < self ? 1 : 0;
        }
    }
    return out;
}

std::optional<peer_ip>
peer_table::peer_with_newer_config(std::uint64_t than,
                                   base::time_point now) const
{
    std::optional<peer_ip> best;
    for (auto const& [ip, p] : peers_)
    {
        if (p.is_heard(now) && p.last_.config_version_ > than)
        {
            than = p.last_.config_version_;
            best = ip;
        }
    }
    return best;
}

} // namespace tanagerlead::routing
