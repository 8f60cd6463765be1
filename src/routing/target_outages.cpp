#include "src/routing/target_outages.hpp"

#include "src/base/random.hpp"
#include "src/routing/report_turn.hpp"

#include <algorithm>
#include <utility>

namespace tanagerlead::routing
{

namespace
{

base::duration age_of(target_observation const& seen)
{
    return std::min<base::duration>(std::chrono::milliseconds{seen.age_ms_},
                                    target_outages::report_time);
}

/// Observations of the report time in a fixed order, so that reports can take
/// turns.
void add_turn(std::vector<target_observation>& out,
              std::vector<target_observation>& seen, std::size_t first)
{
    std::sort(seen.begin(), seen.end(),
              [](target_observation const& a, target_observation const& b)
              { return a.target_ < b.target_; });
    out = take_turn(seen, first, peer_report::max_observations);
}

} // namespace

void target_outages::set_targets(std::vector<target_info> const& targets)
{
    pools_.clear();
    for (auto const& target : targets)
    {
        pools_.emplace(digest_of(target), digest_of(target.pool_.str()));
    }
}

bool target_outages::on_connect(incarnation_digest target, bool connected,
                                base::time_point now)
{
    auto const known = records_.find(target);
    if (connected)
    {
        // Connects to targets that nobody complains of are not worth a report.
        if (known == records_.end() || known->second.failures_.empty())
        {
            return false;
        }
        known->second.own_reached_ = now;
        add_reached(target, now, now);
        return true;
    }
    add_failure(target, {self_, now}, now);
    return true;
}

void target_outages::add_failure(incarnation_digest target,
                                 failed_connect const& failure,
                                 base::time_point now)
{
    if (now - failure.at_ > evidence_time)
    {
        return;
    }
    auto& r = records_[target];
    if (failure.at_ <= r.reached_)
    {
        return;
    }
    auto const known = std::find_if(r.failures_.begin(), r.failures_.end(),
                                    [&](failed_connect const& f)
                                    { return f.daemon_ == failure.daemon_; });
    if (known == r.failures_.end())
    {
        r.failures_.push_back(failure);
    }
    else
    {
        known->at_ = std::max(known->at_, failure.at_);
    }
    decide(r, now);
}

void target_outages::add_reached(incarnation_digest target, base::time_point at,
                                 base::time_point now)
{
    auto& r = records_[target];
    r.reached_ = std::max(r.reached_, at);
    decide(r, now);
}

void target_outages::decide(record& r, base::time_point now)
{
    std::erase_if(r.failures_,
                  [&](failed_connect const& f) {
                      return f.at_ <= r.reached_ || now - f.at_ > evidence_time;
                  });
    auto const fresh = std::count_if(r.failures_.begin(), r.failures_.end(),
                                     [now](failed_connect const& f)
                                     { return now - f.at_ <= witness_window; });
    auto const needed = fleet_.size() <= min_witnesses ? 1 : min_witnesses;
    auto const is_out = r.is_out_ ? !r.failures_.empty()
                                  : static_cast<std::size_t>(fresh) >= needed;
    if (is_out != r.is_out_)
    {
        r.is_out_ = is_out;
        r.probes_ = 0;
        r.next_probe_ =
            is_out ? now + first_probe_delay : base::time_point::max();
        changed_ = true;
    }
}

void target_outages::on_report(peer_ip from, peer_report const& report,
                               base::time_point now)
{
    if (report.is_cut_off_)
    {
        withdraw(from, std::nullopt, now);
    }
    for (auto const pool : report.unreachable_pools_)
    {
        withdraw(from, pool, now);
    }
    for (auto const& seen : report.reached_targets_)
    {
        add_reached(seen.target_, now - age_of(seen), now);
    }
    auto const& cut = report.unreachable_pools_;
    for (auto const& seen : report.failed_targets_)
    {
        auto const pool = pools_.find(seen.target_);
        auto const is_cut =
            report.is_cut_off_ ||
            (pool != pools_.end() &&
             std::find(cut.begin(), cut.end(), pool->second) != cut.end());
        if (!is_cut)
        {
            add_failure(seen.target_, {from, now - age_of(seen)}, now);
        }
    }
}

void target_outages::withdraw(peer_ip daemon, std::optional<id_digest> pool,
                              base::time_point now)
{
    for (auto& [target, r] : records_)
    {
        auto const of = pools_.find(target);
        if (!pool || (of != pools_.end() && of->second == *pool))
        {
            std::erase_if(r.failures_, [daemon](failed_connect const& f)
                          { return f.daemon_ == daemon; });
            decide(r, now);
        }
    }
}

bool target_outages::advance(base::time_point now)
{
    for (auto& [target, r] : records_)
    {
        decide(r, now);
    }
    // A late report of a failure must not count after the target was reached.
    absl::erase_if(records_,
                   [now](auto const& entry)
                   {
                       auto const& r = entry.second;
                       return r.failures_.empty() &&
                              (r.reached_ == base::time_point::min() ||
                               now - r.reached_ > evidence_time);
                   });
    return std::exchange(changed_, false);
}

bool target_outages::is_out(incarnation_digest target) const
{
    auto const found = records_.find(target);
    return found != records_.end() && found->second.is_out_;
}

std::size_t target_outages::out_count() const
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(),
                      [](auto const& entry) { return entry.second.is_out_; }));
}

// Rendezvous hashing: all daemons agree on the prober without talking. Each
// step picks another one, so that a prober that is gone or cut off delays a
// return by one step.
bool target_outages::is_prober(incarnation_digest target,
                               std::uint64_t probe) const
{
    auto const step =
        base::random_source{static_cast<std::uint64_t>(target) + probe}();
    auto const weight = [step](peer_ip daemon)
    {
        return base::random_source{step ^ static_cast<std::uint64_t>(daemon)}();
    };
    auto const own = weight(self_);
    return std::none_of(fleet_.begin(), fleet_.end(),
                        [&](peer_ip daemon) { return weight(daemon) > own; });
}

std::vector<incarnation_digest> target_outages::due_probes(base::time_point now)
{
    std::vector<incarnation_digest> out;
    for (auto& [target, r] : records_)
    {
        if (!r.is_out_ || now < r.next_probe_)
        {
            continue;
        }
        if (is_prober(target, r.probes_))
        {
            out.push_back(target);
        }
        ++r.probes_;
        r.next_probe_ = now + probe_interval;
    }
    return out;
}

void target_outages::add_to(peer_report& report, base::time_point now,
                            std::size_t first) const
{
    std::vector<target_observation> failed;
    std::vector<target_observation> reached;
    auto const age_ms = [now](base::time_point at)
    {
        return static_cast<std::uint16_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - at)
                .count());
    };
    for (auto const& [target, r] : records_)
    {
        if (now - report_time <= r.own_reached_)
        {
            reached.push_back({target, age_ms(r.own_reached_)});
        }
        for (auto const& f : r.failures_)
        {
            if (f.daemon_ == self_ && now - f.at_ <= report_time)
            {
                failed.push_back({target, age_ms(f.at_)});
            }
        }
    }
    add_turn(report.failed_targets_, failed, first);
    add_turn(report.reached_targets_, reached, first);
}

} // namespace tanagerlead::routing
