#include "src/sched/shed_gate.hpp"

#include <algorithm>
#include <cassert>

namespace tanagerlead::sched
{

namespace
{

constexpr base::time_point never{base::duration::min() / 2};

} // namespace

shed_gate::shed_gate()
{
    granted_.fill(never);
    shed_.fill(never);
}

base::time_point shed_gate::earliest_shed(base::tier t,
                                          base::time_point now) const
{
    auto const lower =
        granted_.begin() + static_cast<std::ptrdiff_t>(base::index(t)) + 1;
    auto const last = std::max_element(lower, granted_.end());
    return last == granted_.end() ? now : std::max(now, *last + window);
}

bool shed_gate::may_shed(base::tier t, base::time_point now) const
{
    return earliest_shed(t, now) <= now;
}

base::tier shed_gate::lowest_grantable(base::time_point now) const
{
    for (std::size_t t = 0; t < shed_.size(); ++t)
    {
        if (now - shed_[t] < window)
        {
            return static_cast<base::tier>(t);
        }
    }
    return base::tier{base::max_tiers - 1};
}

base::time_point shed_gate::next_change(base::time_point now) const
{
    auto const highest = base::index(lowest_grantable(now));
    auto const end = shed_.at(highest) + window;
    return end > now ? end : base::time_point::max();
}

void shed_gate::on_grant(base::tier t, base::time_point now)
{
    assert(t <= lowest_grantable(now));
    granted_.at(base::index(t)) = now;
}

void shed_gate::on_shed(base::tier t, base::time_point now)
{
    assert(may_shed(t, now));
    shed_.at(base::index(t)) = now;
}

} // namespace tanagerlead::sched
