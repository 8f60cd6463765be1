#include "src/sched/load_view.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t max_changes = 512;
/// An older report says nothing about the current load.
constexpr base::duration max_report_age = 15s;

} // namespace

void load_view::set_own_requests(int outstanding, base::time_point now)
{
    own_requests_ = outstanding;
    changes_.push_back({now, outstanding});
    if (changes_.size() > max_changes)
    {
        changes_.pop_front();
    }
}

int load_view::own_requests_at(base::time_point t) const
{
    auto const after =
        std::upper_bound(changes_.begin(), changes_.end(), t,
                         [](auto at, auto const& c) { return at < c.at_; });
    if (after != changes_.begin())
    {
        return std::prev(after)->outstanding_;
    }
    // Before the first change no request was outstanding. If older changes were
    // dropped, the oldest one kept is the best estimate.
    return changes_.size() < max_changes ? 0 : changes_.front().outstanding_;
}

void load_view::observe(target_load const& load, base::time_point now)
{
    auto const measured_at = now - load.age_;
    if (measured_at < measured_at_)
    {
        return;
    }
    measured_at_ = measured_at;
    other_requests_ = std::max(
        load.running_ + load.waiting_ - own_requests_at(measured_at), 0);
}

int load_view::other_requests(base::time_point now) const
{
    return now - measured_at_ > max_report_age ? 0 : other_requests_;
}

} // namespace tanagerlead::sched
