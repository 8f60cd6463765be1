#include "src/cell/cell_owner.hpp"

#include "src/cell/timing.hpp"

#include <algorithm>
#include <utility>

namespace tanagerlead::cell
{

namespace
{
/// Bounds the memory for requests that ended.
constexpr std::size_t most_ended = 65536;
/// Numbers of decisions differ between tenures of one life.
constexpr unsigned tenure_shift = 32;

bool ends_dispatch(sched::dispatch_event event)
{
    return event != sched::dispatch_event::started &&
           event != sched::dispatch_event::first_token;
}
} // namespace

cell_owner::cell_owner(base::cell_id cell, cell_epoch epoch,
                       std::unique_ptr<sched::cell_scheduler> scheduler,
                       base::time_point begin)
    : cell_{std::move(cell)}, epoch_{epoch}, scheduler_{std::move(scheduler)},
      settled_at_{begin + timing::settling_time},
      last_number_{static_cast<std::uint64_t>(epoch) << tenure_shift}
{
}

void cell_owner::configure(sched::cell_settings const& settings)
{
    for (auto const& tier : settings.tiers_)
    {
        lowest_tier_ = std::max(lowest_tier_, tier.tier_);
    }
    scheduler_->configure(settings);
}

void cell_owner::observe(sched::target_load const& load, base::time_point now)
{
    scheduler_->observe(load, now);
}

void cell_owner::set_leaving(base::target_id const& target, bool leaving,
                             base::time_point now)
{
    scheduler_->set_leaving(target, leaving, now);
}

void cell_owner::keep_lives(std::set<std::uint64_t> const& origins,
                            base::time_point now)
{
    std::vector<base::request_id> lost;
    for (auto& [request, held] : held_)
    {
        if (origins.contains(request.origin_) || held.stage_ == stage::orphaned)
        {
            continue;
        }
        if (occupies_target(held))
        {
            // The target may go on with it for a while.
            set_stage(held, stage::orphaned);
            timers_.set(request, now + timing::orphan_lifetime);
            continue;
        }
        lost.push_back(request);
    }
    for (auto const& request : lost)
    {
        scheduler_->withdraw(request, now);
        erase(request);
    }
    std::erase_if(contacts_, [&](auto const& one)
                  { return !origins.contains(one.first); });
    std::erase_if(returned_,
                  [&](auto origin) { return !origins.contains(origin); });
}

void cell_owner::heard(daemon_life const& from, base::time_point now)
{
    auto& contact = contacts_[from.origin_];
    contact.heard_ = now;
    if (std::exchange(contact.is_passed_over_, false))
    {
        returned_.insert(from.origin_);
    }
}

void cell_owner::put_back_returned(base::time_point now)
{
    for (auto i = returned_.begin(); i != returned_.end();)
    {
        // Lapsed grants that it used after all are booked before more is
        // granted.
        if (has_lapsed(*i))
        {
            ++i;
            continue;
        }
        put_back(*i, now);
        i = returned_.erase(i);
    }
}

bool cell_owner::has_lapsed(std::uint64_t origin) const
{
    auto i = held_.lower_bound({origin, 0});
    while (i != held_.end() && i->first.origin_ == origin &&
           i->second.stage_ != stage::lapsed)
    {
        ++i;
    }
    return i != held_.end() && i->first.origin_ == origin;
}

void cell_owner::put_back(std::uint64_t origin, base::time_point now)
{
    for (auto i = held_.lower_bound({origin, 0});
         i != held_.end() && i->first.origin_ == origin; ++i)
    {
        if (i->second.stage_ == stage::passed_over)
        {
            scheduler_->enqueue(i->second.item_, now);
            set_stage(i->second, stage::queued);
        }
    }
}

void cell_owner::note_silence(held_request& held, base::time_point now)
{
    auto const origin = held.decision_.request_.origin_;
    auto const silence =
        now - std::max(held.decided_at_, contacts_[origin].heard_);
    if (silence >= timing::entry_silence)
    {
        pass_over(origin, now);
    }
    // It may have used the grant all the same: then its word books it again,
    // and the target has one more than its limit for a moment.
    if (held.stage_ == stage::granted && silence >= timing::grant_lifetime)
    {
        release(held, sched::dispatch_event::declined, now);
        set_stage(held, stage::lapsed);
    }
}

void cell_owner::pass_over(std::uint64_t origin, base::time_point now)
{
    auto& contact = contacts_[origin];
    if (std::exchange(contact.is_passed_over_, true))
    {
        return;
    }
    returned_.erase(origin);
    for (auto i = held_.lower_bound({origin, 0});
         i != held_.end() && i->first.origin_ == origin; ++i)
    {
        if (i->second.stage_ == stage::queued)
        {
            scheduler_->withdraw(i->first, now);
            set_stage(i->second, stage::passed_over);
        }
    }
}

void cell_owner::on_update(daemon_life const& from,
                           request_update const& update, base::time_point now,
                           std::vector<outgoing_message>& out)
{
    heard(from, now);
    auto const ended = ended_.find(update.request_);
    if (ended != ended_.end() && ended->second >= update.revision_)
    {
        acknowledge(from, update, update.revision_, out);
        return;
    }
    auto found = held_.find(update.request_);
    if (found == held_.end() && update.state_ != request_state::ended)
    {
        if (!update.item_)
        {
            acknowledge(from, update, revision{}, out);
            return;
        }
        found = held_.emplace(update.request_, held_request{}).first;
        found->second.item_ = *update.item_;
        found->second.item_.entry_ = from.daemon_;
        found->second.entry_ = from.daemon_;
    }
    if (found != held_.end() && found->second.revision_ < update.revision_)
    {
        adopt_update(found->second, update, now);
    }
    if (update.state_ == request_state::ended)
    {
        end(update.request_, now);
        ended_[update.request_] = update.revision_;
    }
    acknowledge(from, update, update.revision_, out);
}

void cell_owner::adopt_update(held_request& held, request_update const& update,
                              base::time_point now)
{
    if (held.stage_ == stage::orphaned)
    {
        set_stage(held, stage::running);
    }
    apply_reports(held, update, now);
    held.revision_ = update.revision_;
    timers_.set(update.request_, now + timing::query_interval);
    if (update.state_ == request_state::waiting)
    {
        become_waiting(held, update, now);
    }
    else if (update.state_ == request_state::running)
    {
        become_running(held, update, now);
    }
}

void cell_owner::apply_reports(held_request& held, request_update const& update,
                               base::time_point now)
{
    for (auto const& numbered : update.reports_)
    {
        auto const& report = numbered.report_;
        if (numbered.revision_ <= held.revision_)
        {
            continue;
        }
        if (!occupies_target(held) || held.target_ != report.target_)
        {
            // It ran by another's grant, which this owner never counted.
            continue;
        }
        scheduler_->report(report, now);
        if (ends_dispatch(report.event_))
        {
            set_stage(held, stage::idle);
        }
    }
}

void cell_owner::become_waiting(held_request& held,
                                request_update const& update,
                                base::time_point now)
{
    // It asks again, so it has not used what it was granted.
    if (occupies_target(held))
    {
        release(held, sched::dispatch_event::declined, now);
    }
    if (held.stage_ == stage::queued)
    {
        return;
    }
    if (update.item_)
    {
        held.item_ = *update.item_;
        held.item_.entry_ = held.entry_;
    }
    held.queued_at_ = now;
    scheduler_->enqueue(held.item_, now);
    set_stage(held, stage::queued);
}

void cell_owner::become_running(held_request& held,
                                request_update const& update,
                                base::time_point now)
{
    if (occupies_target(held) && held.target_ == update.target_)
    {
        set_stage(held, stage::running);
        return;
    }
    if (occupies_target(held))
    {
        release(held, sched::dispatch_event::declined, now);
    }
    if (held.stage_ == stage::queued)
    {
        scheduler_->withdraw(update.request_, now);
    }
    held.target_ = update.target_;
    scheduler_->adopt(held.item_, held.target_, now);
    set_stage(held, stage::running);
}

void cell_owner::release(held_request& held, sched::dispatch_event event,
                         base::time_point now)
{
    sched::dispatch_report report;
    report.request_ = held.item_.request_;
    report.target_ = held.target_;
    report.event_ = event;
    scheduler_->report(report, now);
    set_stage(held, stage::idle);
}

void cell_owner::end(base::request_id request, base::time_point now)
{
    auto const found = held_.find(request);
    if (found != held_.end())
    {
        auto& held = found->second;
        if (occupies_target(held))
        {
            release(held, sched::dispatch_event::declined, now);
        }
        else if (held.stage_ == stage::queued)
        {
            scheduler_->withdraw(request, now);
        }
        erase(request);
    }
    ended_order_.push_back({request, now + timing::remember_ended});
}

void cell_owner::erase(base::request_id request)
{
    auto const found = held_.find(request);
    set_stage(found->second, stage::idle);
    timers_.clear(request);
    held_.erase(found);
}

void cell_owner::set_stage(held_request& held, stage next)
{
    if (held.stage_ == stage::queued && --queued_by_entry_[held.entry_] == 0)
    {
        queued_by_entry_.erase(held.entry_);
    }
    if (next == stage::queued)
    {
        ++queued_by_entry_[held.entry_];
    }
    held.stage_ = next;
}

base::time_point cell_owner::grants_from() const
{
    return std::max(settled_at_, held_until_);
}

bool cell_owner::occupies_target(held_request const& held) const
{
    return held.stage_ == stage::granted || held.stage_ == stage::running ||
           held.stage_ == stage::orphaned;
}

bool cell_owner::is_waiting(held_request const& held) const
{
    return held.stage_ == stage::queued || held.stage_ == stage::passed_over;
}

void cell_owner::on_answer(daemon_life const& from,
                           decision_answer const& answer, base::time_point now)
{
    heard(from, now);
    auto const found = held_.find(answer.request_);
    if (found == held_.end() || found->second.entry_ != from.daemon_ ||
        found->second.decision_.number_ != answer.number_)
    {
        return;
    }
    auto& held = found->second;
    if (held.stage_ == stage::lapsed && answer.used_)
    {
        scheduler_->adopt(held.item_, held.target_, now);
        set_stage(held, stage::granted);
    }
    if (held.stage_ == stage::granted && answer.used_)
    {
        set_stage(held, stage::running);
        timers_.set(answer.request_, now + timing::query_interval);
        return;
    }
    if (held.stage_ == stage::granted)
    {
        release(held, sched::dispatch_event::declined, now);
    }
    if (held.stage_ == stage::idle || held.stage_ == stage::lapsed ||
        held.stage_ == stage::refused)
    {
        erase(answer.request_);
    }
}

void cell_owner::on_not_held(daemon_life const& from, not_held const& lost,
                             base::time_point now)
{
    heard(from, now);
    for (auto const& request : lost.requests_)
    {
        auto const found = held_.find(request);
        if (found != held_.end() && found->second.entry_ == from.daemon_)
        {
            end(request, now);
        }
    }
}

void cell_owner::acknowledge(daemon_life const& to,
                             request_update const& update, revision known,
                             std::vector<outgoing_message>& out) const
{
    out.push_back({to.daemon_, update_acknowledgement{cell_, epoch_,
                                                      update.request_, known}});
}

void cell_owner::advance(base::time_point now,
                         std::vector<outgoing_message>& out)
{
    while (auto const request = timers_.pop(now))
    {
        run_timer(*request, now, out);
    }
    put_back_returned(now);
    send_queries(now, out);
    actions_.clear();
    if (now >= grants_from())
    {
        scheduler_->advance(now, actions_);
    }
    for (auto const& action : actions_)
    {
        apply(action, now, out);
    }
    if (now >= next_heartbeat_ && !queued_by_entry_.empty())
    {
        send_heartbeats(now, out);
    }
    forget_ended(now);
}

base::time_point cell_owner::next_wakeup() const
{
    auto next = std::min(timers_.next(),
                         std::max(scheduler_->next_wakeup(), grants_from()));
    if (!queued_by_entry_.empty())
    {
        next = std::min(next, next_heartbeat_);
    }
    return next;
}

cell_counts cell_owner::counts() const
{
    cell_counts counts;
    counts.waiting_by_tier_.resize(base::index(lowest_tier_) + 1);
    for (auto const& [request, held] : held_)
    {
        auto const tier = base::index(held.item_.tier_);
        if (is_waiting(held) && tier < counts.waiting_by_tier_.size())
        {
            ++counts.waiting_by_tier_[tier];
        }
        if (occupies_target(held))
        {
            ++counts.in_flight_by_target_[held.target_];
        }
    }
    return counts;
}

void cell_owner::apply(sched::action const& action, base::time_point now,
                       std::vector<outgoing_message>& out)
{
    decision_message decision;
    auto const* granted = std::get_if<sched::grant>(&action);
    if (granted != nullptr)
    {
        decision.request_ = granted->request_;
        decision.target_ = granted->target_;
    }
    else
    {
        auto const& refused = std::get<sched::refusal>(action);
        decision.request_ = refused.request_;
        decision.cause_ = refused.cause_;
        decision.retry_after_ = refused.retry_after_;
    }
    auto const found = held_.find(decision.request_);
    if (found != held_.end())
    {
        decide(found->second, std::move(decision), now, out);
    }
}

void cell_owner::decide(held_request& held, decision_message decision,
                        base::time_point now,
                        std::vector<outgoing_message>& out)
{
    decision.cell_ = cell_;
    decision.epoch_ = epoch_;
    decision.number_ = ++last_number_;
    auto const is_grant = !decision.target_.empty();
    held.target_ = decision.target_;
    set_stage(held, is_grant ? stage::granted : stage::refused);
    held.decision_ = std::move(decision);
    held.decided_at_ = now;
    held.resend_ = timing::first_resend;
    resend(held, now, out);
}

void cell_owner::resend(held_request& held, base::time_point now,
                        std::vector<outgoing_message>& out)
{
    auto& decision = held.decision_;
    decision.expired_ = !decision.target_.empty() &&
                        now - held.decided_at_ >= timing::grant_lifetime;
    out.push_back({held.entry_, decision});
    timers_.set(decision.request_, now + held.resend_);
    held.resend_ = std::min(2 * held.resend_, timing::longest_resend);
}

void cell_owner::run_timer(base::request_id request, base::time_point now,
                           std::vector<outgoing_message>& out)
{
    auto const found = held_.find(request);
    if (found == held_.end())
    {
        return;
    }
    auto& held = found->second;
    switch (held.stage_)
    {
    case stage::granted:
    case stage::lapsed:
    case stage::refused:
        note_silence(held, now);
        resend(held, now, out);
        break;
    case stage::orphaned:
        release(held, sched::dispatch_event::cancelled, now);
        erase(request);
        break;
    case stage::idle:
    case stage::queued:
    case stage::passed_over:
    case stage::running:
        queries_[held.entry_].push_back(request);
        timers_.set(request, now + timing::query_interval);
        break;
    }
}

void cell_owner::send_queries(base::time_point /*now*/,
                              std::vector<outgoing_message>& out)
{
    for (auto& [entry, requests] : queries_)
    {
        for (std::size_t i = 0; i < requests.size();
             i += message_limits::most_queried)
        {
            auto const end =
                std::min(requests.size(), i + message_limits::most_queried);
            status_query query{cell_,
                               {requests.begin() + static_cast<long>(i),
                                requests.begin() + static_cast<long>(end)}};
            out.push_back({entry, std::move(query)});
        }
    }
    queries_.clear();
}

void cell_owner::send_heartbeats(base::time_point now,
                                 std::vector<outgoing_message>& out)
{
    next_heartbeat_ = now + timing::heartbeat_interval;
    cell_heartbeat beat;
    beat.cell_ = cell_;
    beat.epoch_ = epoch_;
    beat.permitted_ = permitted_tier(now);
    beat.waiting_ = waiting_by_tier();
    beat.valid_for_ = timing::permission_lifetime;
    for (auto const& [entry, queued] : queued_by_entry_)
    {
        out.push_back({entry, beat});
    }
}

tier_counts cell_owner::waiting_by_tier() const
{
    tier_counts counts{};
    for (auto const& [request, held] : held_)
    {
        if (held.stage_ == stage::queued)
        {
            ++counts.at(base::index(held.item_.tier_));
        }
    }
    return counts;
}

base::tier cell_owner::permitted_tier(base::time_point now) const
{
    // While a tier has to wait for long, nothing below it may be served by an
    // entry on its own.
    auto permitted = lowest_tier_;
    for (auto const& [request, held] : held_)
    {
        if (held.stage_ == stage::queued &&
            now - held.queued_at_ >= timing::overload_wait)
        {
            permitted = std::min(permitted, held.item_.tier_);
        }
    }
    return permitted;
}

void cell_owner::forget_ended(base::time_point now)
{
    while (!ended_order_.empty() && (ended_order_.front().until_ <= now ||
                                     ended_order_.size() > most_ended))
    {
        ended_.erase(ended_order_.front().request_);
        ended_order_.pop_front();
    }
}

} // namespace tanagerlead::cell
