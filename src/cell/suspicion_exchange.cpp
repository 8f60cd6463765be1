#include "src/cell/suspicion_exchange.hpp"

#include <algorithm>
#include <utility>

namespace tanagerlead::cell
{

void suspicion_exchange::set_peers(std::vector<base::daemon_id> peers)
{
    peers_ = std::move(peers);
}

void suspicion_exchange::on_reports(std::vector<numbered_report> const& reports)
{
    has_news_ |= std::any_of(reports.begin(), reports.end(),
                             [](auto const& numbered) {
                                 return numbered.report_.event_ ==
                                        sched::dispatch_event::target_lost;
                             });
}

void suspicion_exchange::learn(std::vector<sched::suspicion> const& suspicions,
                               base::time_point now)
{
    known_.import_suspicions(suspicions, now);
}

std::vector<sched::suspicion>
suspicion_exchange::known(base::time_point now) const
{
    return known_.export_suspicions(now, sched::quarantine::max_suspicions);
}

base::time_point suspicion_exchange::next_due() const
{
    if (has_news_)
    {
        return base::time_point::min();
    }
    return known_.size() == 0 ? base::time_point::max() : next_turn_;
}

void suspicion_exchange::tell(base::time_point now,
                              std::vector<outgoing_message>& out)
{
    auto const told = known_.export_suspicions(now, most_told);
    next_turn_ = now + interval;
    if (std::exchange(has_news_, false))
    {
        for (auto const& peer : peers_)
        {
            tell_one(peer, told, out);
        }
        return;
    }
    // Makes up for lost datagrams at a cost that does not grow with the fleet.
    if (!peers_.empty())
    {
        next_peer_ = (next_peer_ + 1) % peers_.size();
        tell_one(peers_[next_peer_], told, out);
    }
}

void suspicion_exchange::tell_one(
    base::daemon_id const& peer,
    std::vector<sched::suspicion> const& suspicions,
    std::vector<outgoing_message>& out) const
{
    for (auto const& one : suspicions)
    {
        out.push_back({peer, suspicion_notice{one}});
    }
}

} // namespace tanagerlead::cell
