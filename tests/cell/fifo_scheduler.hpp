#pragma once

#include "src/sched/cell_scheduler.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace tanagerlead::cell
{

/// First come, first served, by tier; slots as configured. Just enough of a
/// scheduler to drive the protocol around it.
class fifo_scheduler final : public sched::cell_scheduler
{
public:
    void configure(sched::cell_settings const& settings) override
    {
        settings_ = settings;
        touched_ = true;
    }
    void enqueue(sched::work_item const& item, base::time_point) override
    {
        if (!is_waiting(item.request_) && !running_.contains(item.request_))
        {
            queue_.push_back(item);
            touched_ = true;
        }
    }
    void withdraw(base::request_id request, base::time_point) override
    {
        std::erase_if(queue_,
                      [&](auto const& i) { return i.request_ == request; });
    }
    void adopt(sched::work_item const& item, base::target_id const& target,
               base::time_point) override
    {
        running_[item.request_] = target;
    }
    void report(sched::dispatch_report const& event, base::time_point) override
    {
        if (event.event_ != sched::dispatch_event::started &&
            event.event_ != sched::dispatch_event::first_token)
        {
            running_.erase(event.request_);
            touched_ = true;
        }
    }
    void observe(sched::target_load const&, base::time_point) override {}
    void set_leaving(base::target_id const& target, bool leaving,
                     base::time_point) override
    {
        leaving ? void(leaving_.insert(target)) : void(leaving_.erase(target));
        touched_ = true;
    }
    void permit_down_to(base::tier lowest, base::time_point) override
    {
        touched_ |= lowest_ != lowest;
        lowest_ = lowest;
    }
    void advance(base::time_point, std::vector<sched::action>& out) override
    {
        touched_ = false;
        for (auto i = queue_.begin(); i != queue_.end();)
        {
            auto const target = free_target();
            if (target.empty() || i->tier_ > lowest_)
            {
                ++i;
                continue;
            }
            running_[i->request_] = target;
            out.push_back(sched::grant{i->request_, i->entry_, target});
            i = queue_.erase(i);
        }
    }
    base::time_point next_wakeup() const override
    {
        return touched_ ? base::time_point::min() : base::time_point::max();
    }
    std::size_t waiting() const override { return queue_.size(); }
    std::size_t in_flight() const override { return running_.size(); }

private:
    bool is_waiting(base::request_id request) const
    {
        return std::any_of(queue_.begin(), queue_.end(),
                           [&](auto const& i)
                           { return i.request_ == request; });
    }
    base::target_id free_target() const
    {
        for (auto const& target : settings_.targets_)
        {
            auto const used = std::count_if(running_.begin(), running_.end(),
                                            [&](auto const& r)
                                            { return r.second == target.id_; });
            auto const limit = std::max(1.0, target.slots_ * settings_.share_);
            if (!target.draining_ && !leaving_.contains(target.id_) &&
                static_cast<double>(used) < limit)
            {
                return target.id_;
            }
        }
        return {};
    }

    sched::cell_settings settings_;
    std::deque<sched::work_item> queue_;
    std::map<base::request_id, base::target_id> running_;
    std::set<base::target_id> leaving_;
    bool touched_ = false;
    base::tier lowest_{base::max_tiers - 1};
};

} // namespace tanagerlead::cell
