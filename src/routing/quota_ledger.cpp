#include "src/routing/quota_ledger.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

namespace
{

/// A new daemon does not know what the others spent just before it started,
/// so its buckets begin with this part of what they hold.
constexpr double start_part = 0.35;
/// Part of the slack that callers get; the rest covers reports on their way.
constexpr double used_slack = 0.5;
/// Kept for higher ranks: this part of the bucket, and no more than this many
/// requests of the same size.
constexpr double reserved_part = 0.3;
constexpr double reserved_requests = 8;

} // namespace

// One request may be larger than the bucket; it needs a full one.
double quota_ledger::needed(bucket const& b, demand const& d)
{
    auto const reserve = d.deference_ * std::min(reserved_part * b.burst_,
                                                 reserved_requests * d.units_);
    return std::min(d.units_ + reserve, b.burst_);
}

void quota_ledger::configure(std::vector<workspace> const& workspaces,
                             base::time_point now)
{
    std::map<base::workspace_id, bucket> next;
    for (auto const& w : workspaces)
    {
        if (w.rate_ <= 0)
        {
            continue;
        }
        bucket b;
        auto const known = buckets_.find(w.id_);
        if (known != buckets_.end())
        {
            b = known->second;
            fill(b, now);
        }
        b.rate_ = w.rate_;
        b.burst_ = std::max(w.burst_, w.rate_) + used_slack * slack_;
        if (known == buckets_.end())
        {
            b.level_ = start_part * b.burst_;
        }
        b.level_ = std::min(b.level_, b.burst_);
        b.filled_ = now;
        next.emplace(w.id_, b);
    }
    buckets_ = std::move(next);
}

void quota_ledger::fill(bucket& b, base::time_point now) const
{
    auto const passed = std::max(0.0, base::seconds(now - b.filled_));
    b.level_ = std::min(b.burst_, b.level_ + passed * b.rate_ * heard_);
    b.booked_ = std::max(0.0, b.booked_ - passed * b.rate_ * heard_);
    b.filled_ = now;
}

void quota_ledger::set_heard_part(double part, base::time_point now)
{
    if (part == heard_)
    {
        return;
    }
    for (auto& [id, b] : buckets_)
    {
        fill(b, now);
    }
    heard_ = std::clamp(part, 0.0, 1.0);
}

bool quota_ledger::admit(base::workspace_id const& id, demand const& d,
                         base::time_point now)
{
    auto const found = buckets_.find(id);
    if (found == buckets_.end())
    {
        return true;
    }
    auto& b = found->second;
    fill(b, now);
    if (b.level_ < needed(b, d))
    {
        return false;
    }
    b.level_ -= d.units_;
    b.spent_ += d.units_;
    b.last_spent_ = now;
    return true;
}

void quota_ledger::refund(base::workspace_id const& id, double units)
{
    auto const found = buckets_.find(id);
    if (found != buckets_.end())
    {
        auto& b = found->second;
        b.level_ = std::min(b.burst_, b.level_ + units);
        b.spent_ -= units;
    }
}

base::duration quota_ledger::book_return(base::workspace_id const& id,
                                         demand const& d, base::time_point now)
{
    auto const found = buckets_.find(id);
    if (found == buckets_.end())
    {
        return {};
    }
    auto& b = found->second;
    fill(b, now);
    auto const lacking = std::max(0.0, needed(b, d) - b.level_);
    auto const wait = base::from_seconds((lacking + b.booked_) / b.rate_);
    b.booked_ += d.units_;
    return wait;
}

quota_ledger::view quota_ledger::look(base::workspace_id const& id) const
{
    auto const found = buckets_.find(id);
    return found == buckets_.end()
               ? view{0, 0, heard_}
               : view{found->second.rate_, found->second.level_, heard_};
}

void quota_ledger::on_peer_usage(base::workspace_id const& id, double units,
                                 base::time_point now)
{
    auto const found = buckets_.find(id);
    if (found != buckets_.end())
    {
        fill(found->second, now);
        auto& b = found->second;
        b.level_ = std::min(b.burst_, b.level_ - units);
    }
}

std::vector<quota_usage> quota_ledger::own_usage(base::time_point since) const
{
    std::vector<quota_usage> out;
    for (auto const& [id, b] : buckets_)
    {
        if (b.last_spent_ >= since)
        {
            out.push_back({id, static_cast<std::int64_t>(b.spent_)});
        }
    }
    return out;
}

} // namespace tanagerlead::routing
