#include "tests/cell/history.hpp"

#include "src/cell/timing.hpp"

#include <algorithm>
#include <array>

namespace tanagerlead::cell
{

using namespace std::chrono_literals;

namespace
{
constexpr int actions_per_history = 60;
constexpr base::duration longest_pause = 300ms;
constexpr base::duration longest_run = 800ms;
constexpr base::duration longest_delay = 400ms;
constexpr base::duration poll_interval = 1s;
/// The list is read, the grants before that run out, the last one arrives.
constexpr base::duration leaving_bound =
    poll_interval + timing::grant_lifetime + longest_delay;
constexpr double not_sent_part = 0.1;
} // namespace

history::history(std::uint64_t seed, scheduler_factory make_scheduler)
    : seed_{seed}, random_{seed}, cluster_{2 + seed % 2, seed, true,
                                           std::move(make_scheduler)},
      frozen_(cluster_.size()),
      read_(cluster_.size()), last_resume_{cluster_.now()}, next_poll_{
                                                                cluster_.now()}
{
    link_faults faults;
    faults.lost_ = 0.3 * random_.uniform();
    faults.doubled_ = 0.3 * random_.uniform();
    faults.longest_delay_ = random_.below(4) == 0 ? longest_delay : 5ms;
    cluster_.set_faults(faults);
}

std::string history::run()
{
    for (int i = 0; i < actions_per_history && violation_.empty(); ++i)
    {
        act();
        take_decisions();
        run_until(cluster_.now() + up_to(longest_pause));
    }
    mend_everything();
    let_everything_finish();
    check_end();
    return violation_;
}

void history::act()
{
    // Submissions are the most frequent of all.
    static constexpr std::array<action, 14> actions = {
        &history::submit,           &history::submit,
        &history::submit,           &history::submit,
        &history::submit,           &history::submit,
        &history::withdraw,         &history::crash_or_restart,
        &history::freeze_or_resume, &history::cut_or_mend,
        &history::spread,           &history::spread,
        &history::drain_or_undrain, &history::change_config};
    (this->*actions.at(random_.below(actions.size())))();
}

void history::submit()
{
    auto const node = some_node();
    for (auto burst = 1 + random_.below(4); burst > 0; --burst)
    {
        if (cluster_.runs(node))
        {
            auto const tier = static_cast<int>(random_.below(2));
            requests_[cluster_.submit(node, tier)].node_ = node;
        }
    }
}

void history::withdraw()
{
    for (auto& [request, known] : requests_)
    {
        auto const undecided = known.decisions_ < known.submissions_;
        if (undecided && !known.withdrawn_ && !known.lost_ &&
            cluster_.runs(known.node_))
        {
            known.withdrawn_ = true;
            ++withdrawals_;
            cluster_.withdraw(known.node_, request);
            return;
        }
    }
}

void history::crash_or_restart()
{
    auto const node = some_node();
    if (frozen_[node])
    {
        return;
    }
    if (!cluster_.runs(node))
    {
        cluster_.restart(node);
        spread();
        return;
    }
    cluster_.crash(node);
    for (auto& [request, known] : requests_)
    {
        known.lost_ |= known.node_ == node;
    }
}

void history::freeze_or_resume()
{
    auto const node = some_node();
    if (frozen_[node])
    {
        frozen_[node] = false;
        last_resume_ = cluster_.now();
        cluster_.set_state(node, membership::member_state::alive);
        cluster_.freeze(node, false);
    }
    else if (cluster_.runs(node))
    {
        frozen_[node] = true;
        cluster_.freeze(node, true);
        if (random_.below(2) == 0)
        {
            cluster_.set_state(node, membership::member_state::dead);
        }
    }
}

void history::cut_or_mend()
{
    auto const a = some_node();
    cluster_.cut(a, (a + 1) % cluster_.size(), random_.below(2) == 0);
}

void history::spread()
{
    cluster_.spread_members();
}

void history::drain_or_undrain()
{
    base::target_id const target{"r0"};
    if (leaving_since_.erase(target) == 0)
    {
        leaving_since_[target] = cluster_.now();
    }
}

void history::change_config()
{
    auto const targets = static_cast<int>(1 + random_.below(3));
    cluster_.set_config(small_configuration(targets, 2));
}

void history::poll_hosts()
{
    if (cluster_.now() >= next_poll_)
    {
        next_poll_ = cluster_.now() + poll_interval;
        read_ = std::vector<bool>(cluster_.size());
    }
    for (std::size_t i = 0; i < cluster_.size(); ++i)
    {
        // As the service does: those who choose targets read the list, at
        // once when they begin to.
        auto const reads = cluster_.runs(i) && cluster_.at(i).chooses_targets();
        if (reads && !read_[i])
        {
            cluster_.read_hosts(i, leaving_now());
        }
        read_[i] = reads;
    }
}

std::set<base::target_id> history::leaving_now() const
{
    std::set<base::target_id> leaving;
    for (auto const& [target, since] : leaving_since_)
    {
        leaving.insert(target);
    }
    return leaving;
}

void history::mend_everything()
{
    leaving_since_.clear();
    link_faults gentle;
    gentle.lost_ = 0.05;
    cluster_.set_faults(gentle);
    cluster_.set_config(small_configuration(2, 2));
    for (std::size_t a = 0; a < cluster_.size(); ++a)
    {
        for (std::size_t b = a + 1; b < cluster_.size(); ++b)
        {
            cluster_.cut(a, b, false);
        }
    }
    for (std::size_t i = 0; i < cluster_.size(); ++i)
    {
        if (frozen_[i])
        {
            frozen_[i] = false;
            cluster_.set_state(i, membership::member_state::alive);
            cluster_.freeze(i, false);
        }
        else if (!cluster_.runs(i))
        {
            cluster_.restart(i);
        }
    }
    spread();
}

void history::let_everything_finish()
{
    // Longer than a dead entry's requests are counted.
    constexpr base::duration settling = timing::orphan_lifetime + 20s;
    run_until(cluster_.now() + settling);
}

void history::run_until(base::time_point end)
{
    while (violation_.empty() && cluster_.now() < end)
    {
        auto next = std::min(end, next_poll_);
        if (!ends_.empty())
        {
            next = std::min(next, ends_.begin()->first);
        }
        cluster_.step(std::max(next, cluster_.now()));
        poll_hosts();
        take_decisions();
        end_due_runs();
        take_decisions();
    }
}

void history::take_decisions()
{
    for (auto const& recorded : cluster_.take_new_decisions())
    {
        auto const request = recorded.decided_.request_;
        auto& known = requests_.at(request);
        ++known.decisions_;
        if (known.withdrawn_ || known.lost_)
        {
            violated("no decision after the withdrawal", request);
        }
        if (known.decisions_ > known.submissions_)
        {
            violated("each submission is decided once", request);
        }
        check_dispatch(recorded, known);
    }
}

void history::check_dispatch(recorded_decision const& recorded,
                             request_history& known)
{
    auto const request = recorded.decided_.request_;
    auto const* order =
        std::get_if<request::dispatch_to>(&recorded.decided_.decision_);
    if (order == nullptr)
    {
        return;
    }
    ++dispatches_;
    auto const* trace = cluster_.at(recorded.node_).explain(request);
    share_dispatches_ += trace != nullptr && trace->from_share_ ? 1 : 0;
    if (known.started_)
    {
        violated("each request is dispatched once", request);
    }
    auto const leaving = leaving_since_.find(order->target_);
    if (leaving != leaving_since_.end() &&
        recorded.when_ >
            std::max(leaving->second, last_resume_) + leaving_bound)
    {
        violated("no new work for a leaving target", request);
    }
    known.target_ = order->target_;
    if (random_.uniform() >= not_sent_part)
    {
        known.started_ = true;
        cluster_.report(known.node_, request, known.target_,
                        sched::dispatch_event::started);
    }
    ends_.emplace(cluster_.now() + up_to(longest_run), request);
}

void history::end_due_runs()
{
    while (!ends_.empty() && ends_.begin()->first <= cluster_.now())
    {
        auto const request = ends_.extract(ends_.begin()).mapped();
        end_run(request);
    }
}

void history::end_run(base::request_id request)
{
    auto& known = requests_.at(request);
    if (known.lost_)
    {
        return;
    }
    if (!cluster_.runs(known.node_))
    {
        ends_.emplace(cluster_.now() + longest_run, request);
        return;
    }
    if (known.started_)
    {
        cluster_.report(known.node_, request, known.target_,
                        sched::dispatch_event::finished);
        return;
    }
    cluster_.report(known.node_, request, known.target_,
                    sched::dispatch_event::not_sent);
    ++known.submissions_;
    cluster_.resubmit(known.node_, request);
}

void history::check_end()
{
    for (auto const& [request, known] : requests_)
    {
        auto const excused = known.withdrawn_ || known.lost_;
        if (!excused && known.decisions_ != known.submissions_)
        {
            violated("each submission is decided", request);
        }
    }
    for (std::size_t i = 0; i < cluster_.size(); ++i)
    {
        for (auto const& one : cluster_.at(i).status())
        {
            if (!one.counts_.in_flight_by_target_.empty())
            {
                violated("what ended is counted no more", {});
            }
        }
    }
}

void history::violated(std::string const& promise, base::request_id request)
{
    if (violation_.empty())
    {
        violation_ = "seed " + std::to_string(seed_) + ", request " +
                     request.str() + ": " + promise;
    }
}

base::duration history::up_to(base::duration longest)
{
    auto const part = random_.uniform() * static_cast<double>(longest.count());
    return base::duration{static_cast<base::duration::rep>(part)};
}

} // namespace tanagerlead::cell
