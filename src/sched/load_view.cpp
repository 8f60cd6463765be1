#include "src/sched/load_view.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t most_changes = 512;
/// Reports older than this say nothing of the load now.
constexpr base::duration longest_use = 15s;

} // namespace

void load_view::set_own(int outstanding, base::time_point now)
{
    own_ = outstanding;
    changes_.push_back({now, outstanding});
    if (changes_.size() > most_changes)
    {
        changes_.pop_front();
    }
}

int load_view::own_at(base::time_point t) const
{
    auto const after =
        std::upper_bound(changes_.begin(), changes_.end(), t,
                         [](auto at, auto const& c) { return at < c.at_; });
    if (after != changes_.begin())
    {
        return std::prev(after)->outstanding_;
    }
    // Before the first change kept there were at least as many as none.
    return changes_.size() < most_changes ? 0 : changes_.front().outstanding_;
}

void load_view::observe(target_load const& load, base::time_point now)
{
    auto const measured = now - load.age_;
    if (measured < measured_)
    {
        return;
    }
    measured_ = measured;
    others_ = std::max(load.running_ + load.waiting_ - own_at(measured), 0);
}

int load_view::others(base::time_point now) const
{
    return now - measured_ > longest_use ? 0 : others_;
}

} // namespace tanagerlead::sched
