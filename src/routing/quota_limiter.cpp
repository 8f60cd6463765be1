#include "src/routing/quota_limiter.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

namespace
{

/// A new daemon does not know what the others spent just before it started, so
/// its buckets start at this fraction of their capacity.
constexpr double initial_fill_fraction = 0.35;
/// Fraction of the slack that callers get; the rest covers reports that are in
/// transit.
constexpr double usable_slack_fraction = 0.5;
/// Units reserved for higher ranks: this fraction of the bucket, but at most
/// this many requests of mean size.
constexpr double reserved_fraction = 0.3;
constexpr double reserved_requests = 8;
/// Weight of the newest request in the mean units of a request.
constexpr double mean_gain = 0.05;

} // namespace

double quota_limiter::typical_units(bucket const& b, demand const& d)
{
    return b.mean_units_ > 0 ? b.mean_units_ : d.units_;
}

double quota_limiter::reserve(bucket const& b, demand const& d)
{
    return d.relative_rank_ * std::min(reserved_fraction * b.burst_,
                                       reserved_requests * typical_units(b, d));
}

void quota_limiter::configure(std::vector<workspace> const& workspaces,
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
            refill(b, now);
        }
        b.rate_ = w.rate_;
        b.burst_ = std::max(w.burst_, w.rate_) + usable_slack_fraction * slack_;
        if (known == buckets_.end())
        {
            b.level_ = initial_fill_fraction * b.burst_;
        }
        b.level_ = std::min(b.level_, b.burst_);
        b.last_refill_ = now;
        next.emplace(w.id_, b);
    }
    buckets_ = std::move(next);
}

void quota_limiter::refill(bucket& b, base::time_point now) const
{
    auto const passed = std::max(0.0, base::seconds(now - b.last_refill_));
    b.level_ =
        std::min(b.burst_, b.level_ + passed * b.rate_ * heard_fraction_);
    b.pending_retry_units_ = std::max(
        0.0, b.pending_retry_units_ - passed * b.rate_ * heard_fraction_);
    b.last_refill_ = now;
}

void quota_limiter::set_heard_fraction(double fraction, base::time_point now)
{
    if (fraction == heard_fraction_)
    {
        return;
    }
    for (auto& [id, b] : buckets_)
    {
        refill(b, now);
    }
    heard_fraction_ = std::clamp(fraction, 0.0, 1.0);
}

bool quota_limiter::admit(base::workspace_id const& id, demand const& d,
                          base::time_point now)
{
    auto const found = buckets_.find(id);
    if (found == buckets_.end())
    {
        return true;
    }
    auto& b = found->second;
    refill(b, now);
    // Requests of all sizes need the same level. The small ones keep that of a
    // scarce quota too low for a large one to be covered by it. A request may
    // be larger than the bucket; it then needs a full one.
    auto const required =
        std::min(typical_units(b, d) + reserve(b, d), b.burst_);
    if (b.level_ < required)
    {
        return false;
    }
    b.mean_units_ +=
        b.mean_units_ == 0 ? d.units_ : mean_gain * (d.units_ - b.mean_units_);
    b.level_ -= d.units_;
    b.spent_ += d.units_;
    b.last_spent_ = now;
    return true;
}

void quota_limiter::refund(base::workspace_id const& id, double units)
{
    auto const found = buckets_.find(id);
    if (found != buckets_.end())
    {
        auto& b = found->second;
        b.level_ = std::min(b.burst_, b.level_ + units);
        b.spent_ -= units;
    }
}

base::duration quota_limiter::schedule_retry(base::workspace_id const& id,
                                             demand const& d,
                                             base::time_point now)
{
    auto const found = buckets_.find(id);
    if (found == buckets_.end())
    {
        return {};
    }
    auto& b = found->second;
    refill(b, now);
    auto const shortfall =
        std::max(0.0, std::min(d.units_ + reserve(b, d), b.burst_) - b.level_);
    auto const wait =
        base::from_seconds((shortfall + b.pending_retry_units_) / b.rate_);
    b.pending_retry_units_ += d.units_;
    return wait;
}

quota_limiter::bucket_status
quota_limiter::inspect(base::workspace_id const& id) const
{
    auto const found = buckets_.find(id);
    return found == buckets_.end()
               ? bucket_status{0, 0, heard_fraction_}
               : bucket_status{found->second.rate_, found->second.level_,
                               heard_fraction_};
}

void quota_limiter::on_peer_usage(base::workspace_id const& id, double units,
                                  base::time_point now)
{
    auto const found = buckets_.find(id);
    if (found != buckets_.end())
    {
        refill(found->second, now);
        auto& b = found->second;
        b.level_ = std::min(b.burst_, b.level_ - units);
    }
}

std::vector<quota_usage> quota_limiter::own_usage(base::time_point since) const
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
