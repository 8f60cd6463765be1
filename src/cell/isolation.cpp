#include "src/cell/isolation.hpp"

#include "src/cell/timing.hpp"

#include <algorithm>

namespace tanagerlead::cell
{

void isolation::on_members(membership::member_list const& members,
                           base::time_point now)
{
    for (auto& [daemon, known] : known_)
    {
        known.alive_ = false;
    }
    for (auto const& m : members.members_)
    {
        if (m.state_ == membership::member_state::leaving)
        {
            // A planned stop takes nothing from the majority.
            known_.erase(m.daemon_);
        }
        else if (m.state_ != membership::member_state::dead)
        {
            known_[m.daemon_] = {true, now};
        }
    }
    std::erase_if(known_,
                  [&](auto const& entry)
                  {
                      auto const age = now - entry.second.seen_;
                      return !entry.second.alive_ &&
                             age > timing::remember_members;
                  });
    update(now);
}

void isolation::set_store_reachable(bool reachable, base::time_point now)
{
    store_reachable_ = reachable;
    update(now);
}

bool isolation::is_isolated(base::time_point now) const
{
    return cut_off_since_ && now - *cut_off_since_ >= timing::isolation_delay;
}

void isolation::update(base::time_point now)
{
    if (store_reachable_ || sees_majority())
    {
        cut_off_since_.reset();
    }
    else if (!cut_off_since_)
    {
        cut_off_since_ = now;
    }
}

bool isolation::sees_majority() const
{
    // Suspects count: an hour of loss elsewhere must not stop this daemon.
    auto const alive =
        std::count_if(known_.begin(), known_.end(),
                      [](auto const& entry) { return entry.second.alive_; });
    return 2 * static_cast<std::size_t>(alive) > known_.size();
}

} // namespace tanagerlead::cell
