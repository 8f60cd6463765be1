#include "src/routing/target_reach.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

void target_reach::set_targets(std::vector<target_info> const& targets)
{
    for (auto& [id, p] : pools_)
    {
        p.targets_.clear();
    }
    for (auto const& target : targets)
    {
        pools_[target.pool_].targets_.push_back(target);
    }
    std::erase_if(pools_,
                  [](auto const& p) { return p.second.targets_.empty(); });
    for (auto& [id, p] : pools_)
    {
        std::erase_if(p.failed_,
                      [&p = p](base::target_id const& failed)
                      {
                          return std::none_of(p.targets_.begin(),
                                              p.targets_.end(),
                                              [&](target_info const& t)
                                              { return t.id_ == failed; });
                      });
    }
}

std::size_t target_reach::failures_left(pool_reach const& p)
{
    auto const most = std::min(max_unreachable, p.targets_.size());
    return most - std::min(most, p.failed_.size());
}

bool target_reach::on_connect(target_info const& target, bool connected,
                              base::time_point now)
{
    auto const found = pools_.find(target.pool_);
    if (found == pools_.end())
    {
        return false;
    }
    auto& p = found->second;
    auto const was_reached = p.is_reached_;
    if (connected)
    {
        p.failed_.clear();
        p.is_reached_ = true;
        p.probe_at_ = base::time_point::max();
        return !was_reached;
    }
    if (was_reached)
    {
        p.failed_.insert(target.id_);
        p.is_reached_ = failures_left(p) > 0;
        if (!p.is_reached_)
        {
            p.probe_at_ = now + recovery_interval;
        }
        else if (failures_left(p) == 1)
        {
            p.probe_at_ = std::min(p.probe_at_, now);
        }
    }
    return was_reached && !p.is_reached_;
}

bool target_reach::reaches(base::pool_id const& pool) const
{
    auto const found = pools_.find(pool);
    return found == pools_.end() || found->second.is_reached_;
}

std::vector<base::pool_id> target_reach::unreachable_pools() const
{
    std::vector<base::pool_id> out;
    for (auto const& [id, p] : pools_)
    {
        if (!p.is_reached_)
        {
            out.push_back(id);
        }
    }
    return out;
}

bool target_reach::is_cut_off() const
{
    return !pools_.empty() &&
           std::none_of(pools_.begin(), pools_.end(),
                        [](auto const& p) { return p.second.is_reached_; });
}

std::vector<target_info> target_reach::due_probes(base::time_point now)
{
    std::vector<target_info> out;
    for (auto& [id, p] : pools_)
    {
        if (p.probe_at_ > now)
        {
            continue;
        }
        std::vector<target_info> candidates;
        std::copy_if(p.targets_.begin(), p.targets_.end(),
                     std::back_inserter(candidates),
                     [&p = p](target_info const& t) {
                         return !t.draining_ &&
                                (!p.is_reached_ || !p.failed_.contains(t.id_));
                     });
        p.probe_at_ =
            now + (p.is_reached_ ? suspicion_interval : recovery_interval);
        if (!candidates.empty())
        {
            out.push_back(candidates.at(random_.below(candidates.size())));
        }
    }
    return out;
}

base::time_point target_reach::next_probe() const
{
    auto next = base::time_point::max();
    for (auto const& [id, p] : pools_)
    {
        next = std::min(next, p.probe_at_);
    }
    return next;
}

} // namespace tanagerlead::routing
