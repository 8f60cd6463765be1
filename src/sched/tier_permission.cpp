#include "src/sched/tier_permission.hpp"

#include <algorithm>
#include <tuple>

namespace tanagerlead::sched
{

namespace
{

/// Echoes of notices older than `permission_duration` renew no permission, so
/// only a few sent notices are kept.
constexpr std::size_t max_sent_notices = 64;
constexpr base::tier lowest_tier{base::max_tiers - 1};

} // namespace

bool tier_permission::peer_less::operator()(tier_peer const& a,
                                            tier_peer const& b) const
{
    return std::tie(a.cell_.str(), a.origin_) <
           std::tie(b.cell_.str(), b.origin_);
}

tier_permission::tier_permission(base::pool_id pool, tier_peer self)
    : pool_{std::move(pool)}, self_{std::move(self)}
{
}

void tier_permission::set_peers(std::vector<tier_peer> const& owners,
                                base::time_point now)
{
    std::map<tier_peer, peer_state, peer_less> updated;
    for (auto const& owner : owners)
    {
        if (owner == self_)
        {
            continue;
        }
        auto const found = peers_.find(owner);
        if (found == peers_.end())
        {
            // A notice at once lets the new peer permit lower tiers sooner.
            next_notice_at_ = std::min(next_notice_at_, now);
        }
        updated[owner] = found == peers_.end() ? peer_state{} : found->second;
    }
    peers_ = std::move(updated);
}

void tier_permission::set_pressure(std::optional<base::tier> pressure,
                                   base::time_point now)
{
    if (pressure == pressure_)
    {
        return;
    }
    pressure_ = pressure;
    next_notice_at_ = std::min(next_notice_at_, now);
    for (std::size_t t = 0; t < announced_since_.size(); ++t)
    {
        if (!pressure || t < base::index(*pressure))
        {
            announced_since_[t].reset();
        }
    }
}

void tier_permission::record_echo(peer_state& p,
                                  tier_notice const& notice) const
{
    for (auto const& echo : notice.echoes_)
    {
        if (!(echo.owner_ == self_))
        {
            continue;
        }
        auto const sent = std::find_if(sent_.begin(), sent_.end(),
                                       [&](sent_notice const& s) {
                                           return s.sequence_ == echo.sequence_;
                                       });
        if (sent != sent_.end())
        {
            p.echoed_ = sent->at_;
        }
    }
}

void tier_permission::receive(tier_notice const& notice, base::time_point now)
{
    auto const found = peers_.find(notice.owner_);
    if (notice.pool_ != pool_ || found == peers_.end() ||
        notice.sequence_ <= found->second.sequence_)
    {
        return;
    }
    auto& p = found->second;
    if (p.sequence_ == 0)
    {
        next_notice_at_ = std::min(next_notice_at_, now);
    }
    p.sequence_ = notice.sequence_;
    p.pressure_ = notice.pressure_;
    record_echo(p, notice);
}

std::optional<tier_notice> tier_permission::next_notice(base::time_point now)
{
    if (now < next_notice_at_)
    {
        return std::nullopt;
    }
    next_notice_at_ = now + notice_interval;
    sent_.push_back({++sequence_, now});
    if (sent_.size() > max_sent_notices)
    {
        sent_.erase(sent_.begin());
    }
    tier_notice notice{pool_, self_, sequence_, pressure_, {}};
    for (auto const& [owner, p] : peers_)
    {
        notice.echoes_.push_back({owner, p.sequence_});
    }
    for (std::size_t t = 0; pressure_ && t < announced_since_.size(); ++t)
    {
        if (t >= base::index(*pressure_) && !announced_since_[t])
        {
            announced_since_[t] = now;
        }
    }
    return notice;
}

bool tier_permission::is_fresh(peer_state const& p, base::time_point now)
{
    return p.echoed_ && now - *p.echoed_ < permission_duration;
}

base::tier tier_permission::lowest_served(base::time_point now) const
{
    auto lowest = pressure_.value_or(lowest_tier);
    for (auto const& [owner, p] : peers_)
    {
        auto const permitted = is_fresh(p, now)
                                   ? p.pressure_.value_or(lowest_tier)
                                   : base::tier{0};
        lowest = std::min(lowest, permitted);
    }
    return lowest;
}

bool tier_permission::may_shed(base::tier t, base::time_point now) const
{
    if (peers_.empty())
    {
        return true;
    }
    // A silent peer stops serving lower tiers by itself. But an owner that
    // receives no notices may be one that the others consider dead; they do not
    // take its pressure into account, so it must not shed.
    auto const any_peer_is_fresh = std::any_of(
        peers_.begin(), peers_.end(),
        [&](auto const& entry) { return is_fresh(entry.second, now); });
    auto const& since = announced_since_.at(base::index(t));
    return any_peer_is_fresh && since &&
           now - *since > permission_duration + clock_rate_margin;
}

} // namespace tanagerlead::sched
