#include "src/routing/quota_ledger.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

namespace
{

/// A new daemon does not know what the others spent just before it started,
/// so its buckets begin with this much of a second's rate.
constexpr double start_seconds = 0.25;

} // namespace

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
        else
        {
            b.level_ = std::min(w.burst_, start_seconds * w.rate_);
        }
        b.rate_ = w.rate_;
        b.burst_ = std::max(w.burst_, w.rate_);
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

bool quota_ledger::admit(base::workspace_id const& id, double units,
                         base::time_point now)
{
    auto const found = buckets_.find(id);
    if (found == buckets_.end())
    {
        return true;
    }
    auto& b = found->second;
    fill(b, now);
    // One request may be larger than the burst; it needs a full bucket.
    if (b.level_ < std::min(units, b.burst_))
    {
        return false;
    }
    b.level_ -= units;
    b.spent_ += units;
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

base::duration quota_ledger::wait_for(base::workspace_id const& id,
                                      double units, base::time_point now)
{
    auto const found = buckets_.find(id);
    if (found == buckets_.end())
    {
        return {};
    }
    auto& b = found->second;
    fill(b, now);
    auto const lacking = std::min(units, b.burst_) - b.level_;
    return lacking <= 0 ? base::duration{}
                        : base::from_seconds(lacking / b.rate_);
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
