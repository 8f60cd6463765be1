#include "src/cell/cell_entry.hpp"

#include "src/cell/timing.hpp"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace tanagerlead::cell
{

namespace
{
bool uses_pool(config::workspace_config const& workspace,
               std::vector<base::pool_id> const& pools)
{
    return std::any_of(
        workspace.pools_.begin(), workspace.pools_.end(),
        [&](auto const& pool)
        { return std::binary_search(pools.begin(), pools.end(), pool); });
}

bool is_progress(sched::dispatch_event event)
{
    return event == sched::dispatch_event::started ||
           event == sched::dispatch_event::first_token;
}

base::tier top_tier(std::vector<config::tier_config> const& tiers)
{
    auto top = base::tier{base::max_tiers - 1};
    for (auto const& tier : tiers)
    {
        top = std::min(top, tier.tier_);
    }
    return top;
}
} // namespace

sched::cell_settings settings_for(cell_layout const& layout,
                                  config::configuration const& configuration,
                                  double share)
{
    sched::cell_settings settings;
    settings.targets_ = layout.targets_;
    settings.tiers_ = configuration.tiers_;
    settings.share_ = share;
    settings.seed_ = rendezvous_weight(layout.id_.str(), "seed");
    std::copy_if(configuration.workspaces_.begin(),
                 configuration.workspaces_.end(),
                 std::back_inserter(settings.workspaces_),
                 [&](auto const& workspace)
                 { return uses_pool(workspace, layout.pools_); });
    return settings;
}

cell_entry::cell_entry(base::cell_id cell, daemon_life self,
                       scheduler_factory const& make_scheduler,
                       leaving_targets const& leaving,
                       revision_counter& revisions)
    : cell_{std::move(cell)}, self_{std::move(self)},
      make_scheduler_{&make_scheduler}, leaving_{&leaving}, revisions_{
                                                                &revisions}
{
}

void cell_entry::configure(cell_layout const& layout, config::snapshot snapshot,
                           double share)
{
    layout_ = layout;
    config_ = std::move(snapshot);
    share_ = share;
    if (share_scheduler_)
    {
        share_scheduler_->configure(settings_for(layout_, *config_, share_));
    }
}

void cell_entry::set_owner(daemon_life const& owner, base::time_point now)
{
    if (owner == owner_)
    {
        return;
    }
    owner_ = owner;
    epoch_ = cell_epoch{};
    listening_since_ = now;
    tell_all_again(now);
}

void cell_entry::on_leaving_targets(base::time_point now)
{
    if (!share_scheduler_)
    {
        return;
    }
    for (auto const& target : layout_.targets_)
    {
        share_scheduler_->set_leaving(target.id_,
                                      leaving_->contains(target.id_), now);
    }
    share_held_until_ = now;
}

void cell_entry::submit(sched::work_item const& item, base::time_point now)
{
    auto const [found, fresh] = records_.try_emplace(item.request_);
    if (!fresh)
    {
        return;
    }
    found->second.item_ = item;
    raise(found->second);
    start_waiting(found->second, now);
}

void cell_entry::resubmit(sched::work_item const& item, base::time_point now)
{
    auto const found = records_.find(item.request_);
    if (found == records_.end())
    {
        submit(item, now);
        return;
    }
    auto& again = found->second;
    if (again.state_ == request_state::waiting)
    {
        return;
    }
    assert(!again.may_have_run_);
    again.item_ = item;
    expiries_.clear(item.request_);
    raise(again);
    start_waiting(again, now);
}

void cell_entry::withdraw(base::request_id request, base::time_point now)
{
    auto const found = records_.find(request);
    if (found == records_.end() || found->second.state_ == request_state::ended)
    {
        return;
    }
    auto& gone = found->second;
    if (gone.state_ == request_state::running)
    {
        // A grant that its request path never used.
        sched::dispatch_report unused;
        unused.request_ = request;
        unused.target_ = gone.target_;
        unused.event_ = sched::dispatch_event::declined;
        report(unused, now);
        return;
    }
    if (share_scheduler_)
    {
        share_scheduler_->withdraw(request, now);
    }
    leave_waiting(gone);
    raise(gone);
    set_ended(gone, now);
}

void cell_entry::report(sched::dispatch_report const& event,
                        base::time_point now)
{
    auto const found = records_.find(event.request_);
    if (found == records_.end() ||
        found->second.state_ != request_state::running)
    {
        return;
    }
    auto& running = found->second;
    running.may_have_run_ |= event.event_ != sched::dispatch_event::not_sent &&
                             event.event_ != sched::dispatch_event::declined;
    if (share_scheduler_)
    {
        share_scheduler_->report(event, now);
    }
    raise(running);
    add_report(running, event);
    if (!is_progress(event.event_))
    {
        set_ended(running, now);
    }
    else if (event.event_ == sched::dispatch_event::first_token)
    {
        // The start alone is no news; it goes along with the next report.
        send_soon(running, now);
    }
}

std::vector<sched::work_item> cell_entry::take_waiting(base::time_point now)
{
    std::vector<sched::work_item> taken;
    for (auto& [request, one] : records_)
    {
        if (one.state_ == request_state::waiting)
        {
            taken.push_back(one.item_);
        }
    }
    for (auto const& item : taken)
    {
        withdraw(item.request_, now);
    }
    return taken;
}

void cell_entry::on_acknowledgement(daemon_life const& from,
                                    update_acknowledgement const& acknowledged,
                                    base::time_point now)
{
    if (from != owner_ || acknowledged.epoch_ < epoch_)
    {
        return;
    }
    heard(from, acknowledged.epoch_, now);
    auto const found = records_.find(acknowledged.request_);
    if (found == records_.end())
    {
        return;
    }
    auto& one = found->second;
    auto const known = acknowledged.revision_;
    if (known == revision{})
    {
        one.acknowledged_ = known;
        send_soon(one, now);
        return;
    }
    one.acknowledged_ = std::max(one.acknowledged_, known);
    std::erase_if(one.reports_, [&](auto const& numbered)
                  { return numbered.revision_ <= known; });
    if (one.acknowledged_ == one.revision_)
    {
        resends_.clear(acknowledged.request_);
    }
}

void cell_entry::on_decision(daemon_life const& from,
                             decision_message const& decision,
                             base::time_point now, entry_output& out)
{
    if (from == owner_ && decision.epoch_ >= epoch_)
    {
        heard(from, decision.epoch_, now);
    }
    decision_key const key{from.origin_, decision.number_};
    auto const found = records_.find(decision.request_);
    auto used = false;
    if (found != records_.end())
    {
        auto& one = found->second;
        auto const known = std::find(one.used_.begin(), one.used_.end(), key);
        used = known != one.used_.end();
        if (!used && one.state_ == request_state::waiting)
        {
            used = !decision.expired_ &&
                   (decision.target_.empty() || may_use(decision.target_));
            if (!used)
            {
                decline(one, now);
            }
            else if (decision.target_.empty())
            {
                use_refusal(one, decision, now, out, from);
            }
            else
            {
                use_grant(one, decision.target_, key, now, out, from);
                auto const told = from == owner_ && decision.epoch_ == epoch_ &&
                                  one.reports_.empty();
                if (told)
                {
                    // The answer tells the owner all that an update would.
                    one.acknowledged_ = one.revision_;
                    resends_.clear(one.item_.request_);
                }
            }
        }
    }
    decision_answer answer{cell_, decision.request_, decision.number_, used};
    out.messages_.push_back({from.daemon_, std::move(answer)});
}

void cell_entry::on_heartbeat(daemon_life const& from,
                              cell_heartbeat const& beat, base::time_point now)
{
    if (from != owner_ || beat.epoch_ < epoch_)
    {
        return;
    }
    heard(from, beat.epoch_, now);
    permitted_ = beat.permitted_;
    permitted_until_ = now + beat.valid_for_;
    waiting_in_cell_ = beat.waiting_;
}

void cell_entry::on_query(daemon_life const& from, status_query const& query,
                          std::vector<outgoing_message>& out) const
{
    not_held answer{cell_, {}};
    for (auto const& request : query.requests_)
    {
        auto const found = records_.find(request);
        if (found == records_.end() || is_settled(found->second, from))
        {
            answer.requests_.push_back(request);
        }
    }
    if (!answer.requests_.empty())
    {
        out.push_back({from.daemon_, std::move(answer)});
    }
}

bool cell_entry::is_settled(record const& one, daemon_life const& with) const
{
    // An end that is still on its way says more than "not held" would.
    auto const on_its_way =
        with == owner_ && one.acknowledged_ != one.revision_;
    return one.state_ == request_state::ended && !on_its_way;
}

void cell_entry::advance(base::time_point now, entry_output& out)
{
    while (auto const request = expiries_.pop(now))
    {
        resends_.clear(*request);
        records_.erase(*request);
        out.forgotten_.push_back({cell_, *request});
    }
    while (auto const request = resends_.pop(now))
    {
        auto const found = records_.find(*request);
        if (found != records_.end())
        {
            send_update(found->second, now, out.messages_);
        }
    }
    if (!share_scheduler_ && owner_is_silent(now))
    {
        begin_share(now);
    }
    if (share_scheduler_)
    {
        advance_share(now, out);
    }
}

base::time_point cell_entry::next_wakeup() const
{
    auto next = std::min(resends_.next(), expiries_.next());
    if (share_scheduler_)
    {
        next = std::min(
            next, std::max(share_scheduler_->next_wakeup(), share_held_until_));
        if (permission_is_fresh_)
        {
            next =
                std::min(next, std::max(permitted_until_, share_held_until_));
        }
    }
    else if (waiting_ > 0 && owner_ != self_)
    {
        next = std::min(next, listening_since_ + timing::owner_silence);
    }
    return next;
}

bool cell_entry::holds(base::request_id request) const
{
    return records_.contains(request);
}

std::size_t cell_entry::waiting_ahead(base::tier tier,
                                      base::time_point now) const
{
    // Lower tiers do not count: they are no delay for this one.
    auto const upto = static_cast<std::ptrdiff_t>(base::index(tier)) + 1;
    auto const sum = [upto](tier_counts const& counts)
    {
        return std::accumulate(counts.begin(), counts.begin() + upto, 0U);
    };
    auto const heard = now < permitted_until_ ? sum(waiting_in_cell_) : 0;
    return std::max(heard, sum(waiting_by_tier_));
}

void cell_entry::raise(record& changed)
{
    changed.revision_ = revisions_->next();
}

void cell_entry::send_soon(record& changed, base::time_point when)
{
    changed.resend_ = timing::first_resend;
    resends_.set(changed.item_.request_, when);
}

void cell_entry::start_waiting(record& fresh, base::time_point now)
{
    fresh.state_ = request_state::waiting;
    if (waiting_ == 0)
    {
        listening_since_ = now;
    }
    ++waiting_;
    ++waiting_by_tier_.at(base::index(fresh.item_.tier_));
    send_soon(fresh, now);
    if (share_scheduler_)
    {
        share_scheduler_->enqueue(fresh.item_, now);
    }
}

void cell_entry::leave_waiting(record& changed)
{
    if (changed.state_ == request_state::waiting)
    {
        --waiting_;
        --waiting_by_tier_.at(base::index(changed.item_.tier_));
    }
}

void cell_entry::set_ended(record& changed, base::time_point now)
{
    changed.state_ = request_state::ended;
    send_soon(changed, now);
    expiries_.set(changed.item_.request_, now + timing::remember_ended);
}

void cell_entry::add_report(record& changed,
                            sched::dispatch_report const& event)
{
    auto& reports = changed.reports_;
    if (reports.size() == message_limits::most_reports)
    {
        // The end of a dispatch counts for more than its progress.
        auto const spare = std::find_if(
            reports.begin(), reports.end(),
            [](auto const& r) { return is_progress(r.report_.event_); });
        reports.erase(spare == reports.end() ? reports.begin() : spare);
    }
    reports.push_back({changed.revision_, event});
}

void cell_entry::send_update(record& one, base::time_point now,
                             std::vector<outgoing_message>& out)
{
    if (owner_.daemon_.empty() || one.acknowledged_ == one.revision_)
    {
        return;
    }
    request_update update;
    update.cell_ = cell_;
    update.request_ = one.item_.request_;
    update.revision_ = one.revision_;
    update.state_ = one.state_;
    auto const needs_item =
        one.state_ == request_state::waiting || one.acknowledged_ == revision{};
    if (needs_item && one.state_ != request_state::ended)
    {
        update.item_ = one.item_;
    }
    if (one.state_ == request_state::running)
    {
        update.target_ = one.target_;
    }
    update.reports_ = one.reports_;
    out.push_back({owner_.daemon_, std::move(update)});
    resends_.set(one.item_.request_, now + one.resend_);
    one.resend_ = std::min(2 * one.resend_, timing::longest_resend);
}

void cell_entry::tell_all_again(base::time_point now)
{
    for (auto& [request, one] : records_)
    {
        one.acknowledged_ = revision{};
        if (one.state_ != request_state::ended)
        {
            send_soon(one, now);
        }
    }
}

void cell_entry::heard(daemon_life const& /*from*/, cell_epoch epoch,
                       base::time_point now)
{
    listening_since_ = now;
    if (epoch > epoch_ && epoch_ != cell_epoch{})
    {
        // The owner gave the cell up and took it again: it knows nothing.
        tell_all_again(now);
    }
    epoch_ = epoch;
    end_share();
}

bool cell_entry::may_use(base::target_id const& target) const
{
    auto const& targets = layout_.targets_;
    auto const found =
        std::find_if(targets.begin(), targets.end(),
                     [&](auto const& t) { return t.id_ == target; });
    // Whether it is leaving is for the owner to say: this daemon's own copy of
    // the host list is as old as its last turn as an owner.
    return found != targets.end() && !found->draining_;
}

base::address cell_entry::address_of(base::target_id const& target) const
{
    auto const& targets = layout_.targets_;
    auto const found =
        std::find_if(targets.begin(), targets.end(),
                     [&](auto const& t) { return t.id_ == target; });
    return found == targets.end() ? base::address{} : found->address_;
}

void cell_entry::use_grant(record& one, base::target_id const& target,
                           decision_key const& key, base::time_point now,
                           entry_output& out, daemon_life const& by)
{
    leave_waiting(one);
    one.state_ = request_state::running;
    one.target_ = target;
    one.used_.push_back(key);
    raise(one);
    send_soon(one, now);
    request::dispatch_to const order{target, address_of(target)};
    out.decisions_.push_back({one.item_.request_, order, by});
}

void cell_entry::use_refusal(record& one, decision_message const& decision,
                             base::time_point now, entry_output& out,
                             daemon_life const& by)
{
    leave_waiting(one);
    one.used_.push_back({by.origin_, decision.number_});
    raise(one);
    set_ended(one, now);
    request::refuse const order{decision.cause_, decision.retry_after_};
    out.decisions_.push_back({one.item_.request_, order, by});
}

void cell_entry::decline(record& one, base::time_point now)
{
    raise(one);
    one.acknowledged_ = revision{};
    send_soon(one, now + timing::pause_after_decline);
}

bool cell_entry::owner_is_silent(base::time_point now) const
{
    return waiting_ > 0 && owner_ != self_ &&
           now >= listening_since_ + timing::owner_silence;
}

void cell_entry::begin_share(base::time_point now)
{
    share_scheduler_ = (*make_scheduler_)();
    share_scheduler_->configure(settings_for(layout_, *config_, share_));
    on_leaving_targets(now);
    share_held_until_ = leaving_->usable_from(now);
    for (auto const& [request, one] : records_)
    {
        if (one.state_ == request_state::waiting)
        {
            share_scheduler_->enqueue(one.item_, now);
        }
        else if (one.state_ == request_state::running)
        {
            share_scheduler_->adopt(one.item_, one.target_, now);
        }
    }
    // The owner may have taken this daemon for dead and dropped its requests.
    tell_all_again(now);
}

void cell_entry::end_share()
{
    share_scheduler_.reset();
}

void cell_entry::permit(base::time_point now)
{
    auto const top = top_tier(config_->tiers_);
    permission_is_fresh_ = now < permitted_until_;
    share_scheduler_->permit_down_to(
        permission_is_fresh_ ? std::max(top, permitted_) : top, now);
}

void cell_entry::advance_share(base::time_point now, entry_output& out)
{
    if (now < share_held_until_)
    {
        return;
    }
    permit(now);
    actions_.clear();
    share_scheduler_->advance(now, actions_);
    for (auto const& action : actions_)
    {
        apply_share_action(action, now, out);
    }
}

void cell_entry::apply_share_action(sched::action const& action,
                                    base::time_point now, entry_output& out)
{
    auto const* granted = std::get_if<sched::grant>(&action);
    auto const request = granted != nullptr
                             ? granted->request_
                             : std::get<sched::refusal>(action).request_;
    auto const found = records_.find(request);
    if (found == records_.end() ||
        found->second.state_ != request_state::waiting)
    {
        return;
    }
    if (granted != nullptr)
    {
        use_grant(found->second, granted->target_, {}, now, out, self_);
        return;
    }
    auto const& refused = std::get<sched::refusal>(action);
    decision_message decision;
    decision.cause_ = refused.cause_;
    decision.retry_after_ = refused.retry_after_;
    use_refusal(found->second, decision, now, out, self_);
}

} // namespace tanagerlead::cell
