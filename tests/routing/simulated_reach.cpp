#include "tests/routing/simulated_reach.hpp"

#include "tests/routing/fixtures.hpp"

#include <algorithm>

namespace tanagerlead::routing::testing
{

namespace
{

constexpr base::duration step = 10ms;
constexpr base::duration stable_window = 3s;
constexpr base::duration report_interval = 150ms;
constexpr base::duration cut_time = 10s;
constexpr base::duration calm_time = 2s;
constexpr double loss = 0.1;
constexpr double doubling = 0.05;
constexpr double lateness = 0.05;
constexpr int max_relays = 2;
constexpr int max_failed_connects = 3;
constexpr int targets_of_pool = 12;

std::string const pool_names[] = {"models", "plain"};

} // namespace

simulated_reach::simulated_reach(settings s, std::uint64_t seed)
    : settings_{s}, random_{seed}, now_{at(0s)}, cut_at_{at(calm_time)},
      end_at_{cut_at_ + cut_time}
{
    std::vector<target_info> all;
    for (auto const& pool : pool_names)
    {
        targets_.emplace_back();
        for (int i = 0; i < targets_of_pool; ++i)
        {
            targets_.back().push_back(
                target(pool + std::to_string(i), 6, pool));
            all.push_back(targets_.back().back());
        }
    }
    for (std::size_t i = 0; i < s.daemons_; ++i)
    {
        daemons_.push_back(std::make_unique<daemon>(random_()));
        daemons_.back()->reach_.set_targets(all);
    }
}

void simulated_reach::cut_some()
{
    auto const count = std::min(
        daemons_.size() - 1,
        static_cast<std::size_t>(settings_.cut_fraction_ *
                                 static_cast<double>(daemons_.size())));
    for (std::size_t i = 0; i < count; ++i)
    {
        // Two of three are cut off from all targets, the others from one pool.
        auto const kind = random_.below(6);
        daemons_.at(i)->cut_ = {kind != 0, kind != 1};
    }
}

void simulated_reach::end_cut()
{
    for (auto& d : daemons_)
    {
        d->cut_ = {false, false};
    }
}

void simulated_reach::report(std::size_t from)
{
    auto& d = *daemons_.at(from);
    auto const content = std::make_shared<peer_report>();
    auto& out = *content;
    out.incarnation_ = 1;
    out.sequence_number_ = ++d.reports_;
    out.state_ = daemon_state::ready;
    for (auto const& pool : d.reach_.unreachable_pools())
    {
        out.unreachable_pools_.push_back(digest_of(pool.str()));
    }
    out.is_cut_off_ = d.reach_.is_cut_off();
    for (std::size_t to = 0; to < daemons_.size(); ++to)
    {
        if (to == from || random_.uniform() < loss)
        {
            continue;
        }
        auto const delay = random_.uniform() < lateness ? 400ms : 5ms;
        messages_.push_back({now_ + delay, from, to, content});
        if (random_.uniform() < doubling)
        {
            messages_.push_back({now_ + 2 * delay, from, to, content});
        }
    }
}

void simulated_reach::deliver()
{
    auto const due = std::stable_partition(messages_.begin(), messages_.end(),
                                           [this](message const& m)
                                           { return m.due_ > now_; });
    std::for_each(due, messages_.end(),
                  [this](message const& m)
                  {
                      daemons_.at(m.to_)->peers_.on_report(
                          peer_ip{static_cast<std::uint32_t>(m.from_)},
                          *m.report_, now_);
                  });
    messages_.erase(due, messages_.end());
}

void simulated_reach::probe(daemon& d)
{
    for (auto const& t : d.reach_.due_probes(now_))
    {
        auto const pool = t.pool_.str() == pool_names[0] ? 0U : 1U;
        d.reach_.on_connect(t, !d.cut_.at(pool), now_);
    }
}

bool simulated_reach::connect(daemon& d, std::size_t pool)
{
    auto const& targets = targets_.at(pool);
    auto const is_connected = !d.cut_.at(pool);
    d.reach_.on_connect(targets.at(random_.below(targets.size())), is_connected,
                        now_);
    return is_connected;
}

// As call and target_links do: own targets while the pool counts as reached,
// then at most two relays.
bool simulated_reach::handle(std::size_t index, std::size_t pool,
                             bool is_relayed)
{
    auto& d = *daemons_.at(index);
    ++d.handled_;
    base::pool_id const id{pool_names[pool]};
    for (int i = 0; i < max_failed_connects && d.reach_.reaches(id); ++i)
    {
        if (connect(d, pool))
        {
            return true;
        }
    }
    if (is_relayed || d.reach_.reaches(id))
    {
        return false;
    }
    auto peers = d.peers_.reaching(digest_of(id.str()), now_);
    int relays = 0;
    while (!peers.empty() && relays < max_relays)
    {
        auto const chosen = peers.begin() + static_cast<std::ptrdiff_t>(
                                                random_.below(peers.size()));
        auto const relay = static_cast<std::size_t>(*chosen);
        peers.erase(chosen);
        ++relays;
        if (handle(relay, pool, true))
        {
            return true;
        }
    }
    chained_ += relays > max_relays ? 1 : 0;
    return false;
}

void simulated_reach::ask()
{
    auto const d = random_.below(daemons_.size());
    auto const pool = random_.below(targets_.size());
    auto const is_cut = daemons_.at(d)->cut_.at(pool);
    auto const is_served = handle(d, pool, false);
    if (now_ >= cut_at_ + stable_window && now_ < end_at_)
    {
        auto& counts = is_cut ? at_cut_ : at_others_;
        ++counts.asked_;
        counts.served_ += is_served ? 1 : 0;
    }
    else if (now_ >= end_at_)
    {
        ++afterwards_.asked_;
        afterwards_.served_ += is_served ? 1 : 0;
    }
}

void simulated_reach::run()
{
    auto next_report = now_;
    auto const end = end_at_ + calm_time;
    for (; now_ < end; now_ += step)
    {
        if (now_ == cut_at_)
        {
            cut_some();
        }
        if (now_ == end_at_)
        {
            end_cut();
        }
        if (now_ >= next_report)
        {
            next_report += report_interval;
            for (std::size_t d = 0; d < daemons_.size(); ++d)
            {
                report(d);
            }
        }
        deliver();
        for (auto& d : daemons_)
        {
            d->peers_.refresh(now_);
            probe(*d);
        }
        auto const requests =
            settings_.requests_per_second_ * base::seconds(step);
        for (int i = 0; i < static_cast<int>(requests); ++i)
        {
            ask();
        }
    }
}

double simulated_reach::max_load() const
{
    double sum = 0;
    double most = 0;
    for (auto const& d : daemons_)
    {
        sum += d->handled_;
        most = std::max<double>(most, d->handled_);
    }
    return most * static_cast<double>(daemons_.size()) / sum;
}

} // namespace tanagerlead::routing::testing
