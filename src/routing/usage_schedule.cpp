#include "src/routing/usage_schedule.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

void usage_schedule::add_to(peer_report& report, quota_limiter const& quotas,
                            base::duration repeat_time, base::time_point now)
{
    if (now - sent_at_ < min_interval)
    {
        return;
    }
    sent_at_ = now;
    auto const usages = quotas.own_usage(now - repeat_time);
    auto const count = std::min(usages.size(), peer_report::max_spent);
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const& usage = usages[(next_ + i) % usages.size()];
        report.spent_.push_back(
            {digest_of(usage.workspace_.str()), usage.units_});
    }
    next_ = usages.empty() ? 0 : (next_ + count) % usages.size();
}

} // namespace tanagerlead::routing
