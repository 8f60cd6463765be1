#include "tests/sched/virtual_cell.hpp"

#include "src/sched/shed_gate.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace tanagerlead::sched::testing
{

base::token_count virtual_target::match_and_cache(prefix_hashes const& prefix)
{
    auto const missing =
        std::find_if(prefix.begin(), prefix.end(),
                     [this](auto hash) { return !cache_.contains(hash); });
    cache_.insert(missing, prefix.end());
    return (missing - prefix.begin()) * prefix_block_tokens;
}

virtual_cell::virtual_cell(std::string_view policy,
                           cell_settings const& settings)
    : scheduler_{make_scheduler(policy)}, checks_tier_order_{policy ==
                                                             "tanagerlead"}
{
    scheduler_->configure(settings);
    for (auto const& t : settings.targets_)
    {
        targets_[t.id_.str()].slots_ = t.slots_;
    }
}

void virtual_cell::add_arrival(work_item item, base::token_count output)
{
    auto const number = item.request_.sequence_;
    events_.emplace(item.received_, event{number, std::nullopt});
    auto& record = records_[number];
    record.item_ = std::move(item);
    record.output_ = output;
}

void virtual_cell::run_until(base::time_point end)
{
    while (true)
    {
        auto const next =
            events_.empty() ? base::time_point::max() : events_.begin()->first;
        auto const at = std::min(next, scheduler_->next_wakeup());
        if (at > end)
        {
            return;
        }
        now_ = std::max(now_, at);
        while (!events_.empty() && events_.begin()->first <= now_)
        {
            auto const e = events_.begin()->second;
            events_.erase(events_.begin());
            handle(e);
        }
        run_scheduler();
    }
}

void virtual_cell::handle(event const& e)
{
    if (!e.report_)
    {
        scheduler_->enqueue(records_.at(e.request_).item_, now_);
        return;
    }
    // Reports from a target that has crashed meanwhile are dropped.
    if (dispatched_.contains(e.request_))
    {
        scheduler_->report(*e.report_, now_);
        if (e.report_->event_ == dispatch_event::finished)
        {
            on_finished(*e.report_);
        }
    }
}

void virtual_cell::on_finished(dispatch_report const& r)
{
    dispatched_.erase(r.request_.sequence_);
    records_.at(r.request_.sequence_).ended_ = now_;
    auto& t = targets_.at(r.target_.str());
    --t.running_;
    if (!t.queue_.empty())
    {
        auto const g = t.queue_.front();
        t.queue_.pop_front();
        begin(g, t);
    }
}

void virtual_cell::run_scheduler()
{
    auto const decided = advance(*scheduler_, now_);
    CHECK(scheduler_->next_wakeup() > now_);
    for (auto const& r : decided.refusals_)
    {
        auto& record = records_.at(r.request_.sequence_);
        CHECK(!record.refusal_ && record.target_.empty());
        record.refusal_ = r;
        record.refused_after_ = now_ - record.item_.received_;
        if (r.cause_ == refusal_cause::overloaded)
        {
            sheds_.emplace_back(record.item_.tier_, now_);
        }
    }
    for (auto const& g : decided.grants_)
    {
        on_grant(g);
    }
    for (auto const& [shed, at] : sheds_)
    {
        for (auto const& [granted, when] : grants_)
        {
            check_window(shed, granted, at < when ? when - at : at - when);
        }
    }
    auto const old = [this](auto const& entry)
    {
        return now_ - entry.second > shed_gate::window;
    };
    std::erase_if(sheds_, old);
    std::erase_if(grants_, old);
}

void virtual_cell::check_window(base::tier shed, base::tier granted,
                                base::duration distance) const
{
    CHECK(!checks_tier_order_ || granted <= shed ||
          distance >= shed_gate::window);
}

void virtual_cell::on_grant(grant const& g)
{
    auto& record = records_.at(g.request_.sequence_);
    CHECK(!record.refusal_ && record.target_.empty());
    record.granted_ = now_;
    record.target_ = g.target_.str();
    grants_.emplace_back(record.item_.tier_, now_);
    dispatched_.insert(g.request_.sequence_);
    auto& t = targets_.at(record.target_);
    if (record.item_.fingerprint_ == crashing_fingerprint_ &&
        crashing_fingerprint_ != 0)
    {
        crash(t);
    }
    else if (t.running_ < t.slots_)
    {
        begin(g, t);
    }
    else
    {
        t.queue_.push_back(g);
    }
}

void virtual_cell::begin(grant const& g, virtual_target& t)
{
    ++t.running_;
    auto const& record = records_.at(g.request_.sequence_);
    auto const cached = t.match_and_cache(record.item_.prefix_);
    auto const uncached =
        static_cast<double>(record.item_.prompt_tokens_ - cached);
    auto const first =
        now_ + base::from_seconds(uncached / t.prefill_rate_ + t.step_);
    auto const steps = static_cast<double>(record.output_ - 1);
    auto const last = first + base::from_seconds(steps * t.step_);
    auto r = report(g, dispatch_event::first_token, first - record.granted_);
    events_.emplace(first, event{g.request_.sequence_, r});
    r.event_ = dispatch_event::finished;
    r.elapsed_ = last - record.granted_;
    r.output_tokens_ = record.output_;
    r.cached_tokens_ = cached;
    events_.emplace(last, event{g.request_.sequence_, r});
}

// The target restarts at once and loses what ran or waited on it.
void virtual_cell::crash(virtual_target& t)
{
    t.running_ = 0;
    t.cache_.clear();
    t.queue_.clear();
    for (auto const number : std::set<std::uint64_t>{dispatched_})
    {
        auto const& record = records_.at(number);
        if (&targets_.at(record.target_) == &t)
        {
            dispatched_.erase(number);
            scheduler_->report(report({record.item_.request_,
                                       {},
                                       base::target_id{record.target_}},
                                      dispatch_event::target_lost),
                               now_);
        }
    }
}

std::size_t virtual_cell::count(int tier, bool served) const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(),
        [&](auto const& entry)
        {
            return static_cast<int>(base::index(entry.second.item_.tier_)) ==
                       tier &&
                   entry.second.served() == served;
        }));
}

} // namespace tanagerlead::sched::testing
