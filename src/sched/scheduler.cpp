#include "src/sched/scheduler.hpp"

#include "src/sched/cost.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

/// Seconds advised when no backlog tells how long to wait.
constexpr double default_retry = 1.0;
/// How soon a refusal that is not permitted yet is looked at again.
constexpr base::duration shed_recheck = 100ms;
constexpr std::size_t most_exported = 256;

/// Orders by number, so that decisions do not depend on hash seeds.
bool earlier(base::request_id const& a, base::request_id const& b)
{
    return std::tie(a.origin_, a.sequence_) < std::tie(b.origin_, b.sequence_);
}

} // namespace

scheduler::scheduler(policy const& parts)
    : parts_{parts}, queue_{parts.make_queue_()}, choice_{parts.make_choice_()},
      targets_{parts}
{
}

void scheduler::configure(cell_settings const& settings)
{
    refusals_.set_seed(settings.seed_);
    aside_.release_all();
    targets_.configure(settings);
    admission_.configure(settings);
    queue_->set_weights(workspaces_.configure(settings.workspaces_));
    targets_changed_ = true;
    touched_ = true;
}

void scheduler::touch(base::time_point now)
{
    now_ = std::max(now_, now);
    touched_ = true;
}

bool scheduler::known(base::request_id request) const
{
    return waiting_.contains(request) || in_flight_.contains(request) ||
           refusals_.contains(request);
}

void scheduler::set_expiry(waiting_request& request) const
{
    auto const& item = request.item_;
    request.expires_ = item.received_ + admission_.longest_wait(item.tier_);
    request.expiry_cause_ = refusal_cause::overloaded;
    if (item.deadline_ == base::time_point::max())
    {
        return;
    }
    auto const service =
        parts_.protects_
            ? targets_.fastest_service({0, request.expected_output_, 1})
            : 0.0;
    auto const latest_start = item.deadline_ - base::from_seconds(service);
    if (latest_start < request.expires_)
    {
        request.expires_ = latest_start;
        request.expiry_cause_ = refusal_cause::deadline;
    }
}

std::unique_ptr<waiting_request> scheduler::prepare(work_item const& item,
                                                    base::time_point now)
{
    auto request = std::make_unique<waiting_request>();
    request->item_ = item;
    request->item_.tier_ =
        std::min(item.tier_, base::tier{base::max_tiers - 1});
    request->expected_output_ = lengths_.expect(item);
    request->cost_ = cost_of(item.prompt_tokens_, request->expected_output_);
    request->enqueued_ = now;
    request->workspace_ = &workspaces_.of(item.workspace_);
    // It counts from here, so that the table keeps its workspace.
    ++request->workspace_->waiting_;
    set_expiry(*request);
    return request;
}

std::optional<refusal_cause>
scheduler::why_refuse(waiting_request const& request,
                      base::time_point now) const
{
    auto const& item = request.item_;
    if (!targets_.serves(item.pool_))
    {
        return refusal_cause::no_target;
    }
    if (parts_.protects_ && quarantine_.blocked(item.fingerprint_, now))
    {
        return refusal_cause::quarantined;
    }
    if (request.workspace_->over_limit())
    {
        return refusal_cause::workspace_limit;
    }
    if (request.expires_ <= now &&
        request.expiry_cause_ == refusal_cause::deadline)
    {
        return refusal_cause::deadline;
    }
    return parts_.protects_ ? admission_.check(request, *queue_,
                                               targets_.service_rate(), now)
                            : std::nullopt;
}

void scheduler::enqueue(work_item const& item, base::time_point now)
{
    if (known(item.request_))
    {
        return;
    }
    touch(now);
    auto request = prepare(item, now);
    if (auto const cause = why_refuse(*request, now))
    {
        workspaces_.on_gone(*request->workspace_);
        refuse(request->item_, *cause);
    }
    else
    {
        admit(std::move(request));
    }
}

void scheduler::admit(std::unique_ptr<waiting_request> request)
{
    auto const id = request->item_.request_;
    expiries_.add(request->expires_, id);
    queue_->push(*request);
    waiting_.emplace(id, std::move(request));
}

void scheduler::forget(waiting_request const& request)
{
    expiries_.remove(request.expires_, request.item_.request_);
    workspaces_.on_gone(*request.workspace_);
}

std::unique_ptr<waiting_request> scheduler::remove(base::request_id request)
{
    auto const found = waiting_.find(request);
    assert(found != waiting_.end());
    auto removed = std::move(found->second);
    waiting_.erase(found);
    if (removed->aside_)
    {
        aside_.remove(*removed);
        queue_->charge(removed->item_.workspace_, removed->item_.tier_,
                       -removed->cost_);
    }
    else
    {
        queue_->erase(*removed);
    }
    forget(*removed);
    return removed;
}

void scheduler::withdraw(base::request_id request, base::time_point now)
{
    touch(now);
    if (waiting_.contains(request))
    {
        remove(request);
    }
    else if (in_flight_.contains(request))
    {
        end(request);
    }
    else
    {
        refusals_.remove(request);
    }
}

void scheduler::adopt(work_item const& item, base::target_id const& target,
                      base::time_point now)
{
    if (in_flight_.contains(item.request_))
    {
        return;
    }
    touch(now);
    if (waiting_.contains(item.request_))
    {
        remove(item.request_);
    }
    running_request run;
    run.item_ = item;
    run.target_ = &targets_.find_or_add(target);
    run.dispatched_ = now;
    run.cost_ = cost_of(item.prompt_tokens_, lengths_.expect(item));
    start(std::move(run));
}

void scheduler::start(running_request run)
{
    auto& target = *run.target_;
    targets_.on_granted(target, now_);
    run.outstanding_ = target.outstanding_;
    target.prefilling_ += run.item_.prompt_tokens_ - run.cached_;
    if (parts_.protects_)
    {
        target.prefixes_.add(run.item_.prefix_);
    }
    if (run.suspect_)
    {
        ++target.suspects_;
        running_suspects_.insert(run.item_.fingerprint_);
    }
    auto const id = run.item_.request_;
    in_flight_.emplace(id, std::move(run));
}

void scheduler::end(base::request_id request)
{
    auto const found = in_flight_.find(request);
    auto const run = std::move(found->second);
    in_flight_.erase(found);
    auto& target = *run.target_;
    if (run.prefilling_)
    {
        target.prefilling_ -= run.item_.prompt_tokens_ - run.cached_;
    }
    if (run.suspect_)
    {
        --target.suspects_;
        running_suspects_.erase(run.item_.fingerprint_);
    }
    targets_.on_ended(target, now_);
}

void scheduler::report(dispatch_report const& event, base::time_point now)
{
    touch(now);
    auto const found = in_flight_.find(event.request_);
    if (found == in_flight_.end())
    {
        return;
    }
    apply(event, found->second);
    auto const goes_on = event.event_ == dispatch_event::started ||
                         event.event_ == dispatch_event::first_token;
    if (!goes_on)
    {
        end(event.request_);
    }
}

void scheduler::apply(dispatch_report const& event, running_request& run)
{
    auto& target = *run.target_;
    switch (event.event_)
    {
    case dispatch_event::first_token:
        on_first_token(run, event.elapsed_);
        break;
    case dispatch_event::finished:
        on_finished(run, event);
        break;
    case dispatch_event::target_lost:
        quarantine_.on_target_lost(run.item_.fingerprint_, target.config_.id_,
                                   now_);
        target.prefixes_.clear();
        target.health_.on_lost(run.dispatched_, now_);
        break;
    case dispatch_event::not_sent:
        target.health_.on_lost(run.dispatched_, now_);
        break;
    case dispatch_event::target_error:
        target.health_.on_error(run.dispatched_, now_);
        break;
    case dispatch_event::started:
    case dispatch_event::cancelled:
    case dispatch_event::declined:
        break;
    }
}

void scheduler::on_first_token(running_request& run, base::duration elapsed)
{
    auto& target = *run.target_;
    target.health_.on_progress(now_);
    run.first_token_ = std::max(elapsed, base::duration{1});
    if (std::exchange(run.prefilling_, false))
    {
        target.prefilling_ -= run.item_.prompt_tokens_ - run.cached_;
    }
}

void scheduler::on_finished(running_request& run, dispatch_report const& event)
{
    run.target_->health_.on_progress(now_);
    run.target_->prefixes_.correct(run.expected_, event.cached_tokens_);
    quarantine_.on_finished(run.item_.fingerprint_, now_);
    lengths_.add(run.item_, event.output_tokens_);
    auto const uncached = std::max<base::token_count>(
        run.item_.prompt_tokens_ - event.cached_tokens_, 0);
    queue_->charge(run.item_.workspace_, run.item_.tier_,
                   cost_of(uncached, event.output_tokens_) - run.cost_);
    targets_.learn(run, event, now_);
}

void scheduler::observe(target_load const& load, base::time_point now)
{
    touch(now);
    if (auto* const target = targets_.find(load.target_))
    {
        target->load_.observe(load, now);
    }
}

void scheduler::set_leaving(base::target_id const& target, bool leaving,
                            base::time_point now)
{
    touch(now);
    if (auto* const state = targets_.find(target))
    {
        state->leaving_ = leaving;
        targets_changed_ = true;
    }
}

void scheduler::permit_down_to(base::tier lowest, base::time_point now)
{
    touch(now);
    lowest_permitted_ = lowest;
}

void scheduler::permit_shed_from(base::tier highest, base::time_point now)
{
    touch(now);
    admission_.permit_shed_from(highest);
}

std::optional<base::tier> scheduler::pressure() const
{
    return parts_.protects_
               ? admission_.pressure(*queue_, targets_.service_rate())
               : std::nullopt;
}

std::vector<suspicion> scheduler::export_suspicions(base::time_point now) const
{
    return quarantine_.export_suspicions(now, most_exported);
}

void scheduler::import_suspicions(std::vector<suspicion> const& suspicions,
                                  base::time_point now)
{
    touch(now);
    quarantine_.import_suspicions(suspicions, now);
}

double scheduler::retry_seconds(work_item const& item,
                                refusal_cause cause) const
{
    if (cause == refusal_cause::quarantined)
    {
        return base::seconds(quarantine_.remaining(item.fingerprint_, now_));
    }
    auto const wait = admission::predicted_wait(
        *queue_, item.workspace_, item.tier_, targets_.service_rate());
    if (wait <= 0)
    {
        return default_retry;
    }
    // Asking again makes sense when the queue has shrunk enough to be let in.
    auto const longest = base::seconds(admission_.longest_wait(item.tier_));
    return cause == refusal_cause::overloaded
               ? std::max(wait - longest, default_retry)
               : wait;
}

void scheduler::refuse(work_item const& item, refusal_cause cause)
{
    if (parts_.protects_ && cause == refusal_cause::overloaded)
    {
        admission_.gate().on_shed(item.tier_, now_);
    }
    refusals_.add(item, cause, retry_seconds(item, cause));
}

void scheduler::refuse_waiting(base::request_id request, refusal_cause cause)
{
    auto const removed = remove(request);
    refuse(removed->item_, cause);
}

void scheduler::postpone(waiting_request& request)
{
    auto const id = request.item_.request_;
    auto const opens = admission_.gate().opens(request.item_.tier_, now_);
    expiries_.remove(request.expires_, id);
    request.expires_ = std::max(opens, now_ + shed_recheck);
    if (request.item_.deadline_ <= request.expires_)
    {
        request.expires_ =
            std::max(request.item_.deadline_, now_ + base::duration{1});
        request.expiry_cause_ = refusal_cause::deadline;
    }
    expiries_.add(request.expires_, id);
}

void scheduler::expire()
{
    while (expiries_.due(now_))
    {
        auto const id = expiries_.first();
        auto& request = *waiting_.at(id);
        auto const sheds = parts_.protects_ &&
                           request.expiry_cause_ == refusal_cause::overloaded;
        if (sheds && !admission_.may_shed(request.item_.tier_, now_))
        {
            postpone(request);
        }
        else
        {
            refuse_waiting(id, request.expiry_cause_);
        }
    }
}

void scheduler::refuse_unserved()
{
    if (!std::exchange(targets_changed_, false))
    {
        return;
    }
    std::vector<base::request_id> unserved;
    for (auto const& [id, request] : waiting_)
    {
        if (!targets_.serves(request->item_.pool_))
        {
            unserved.push_back(id);
        }
    }
    std::sort(unserved.begin(), unserved.end(), earlier);
    for (auto const& id : unserved)
    {
        refuse_waiting(id, refusal_cause::no_target);
    }
}

void scheduler::shed()
{
    if (!parts_.protects_)
    {
        return;
    }
    auto const victims =
        admission_.excess(*queue_, targets_.service_rate(), now_);
    for (auto const* victim : victims)
    {
        refuse_waiting(victim->item_.request_, refusal_cause::overloaded);
    }
}

bool scheduler::is_suspect(waiting_request const& request) const
{
    return parts_.protects_ &&
           quarantine_.suspect(request.item_.fingerprint_, now_);
}

// One copy of a suspect at a time, and no two suspects on one target: then a
// death points at one of them, and the others clear themselves by finishing.
candidates scheduler::choices_for(waiting_request const& request)
{
    auto from = targets_.choices(request.item_.pool_);
    if (!is_suspect(request))
    {
        return from;
    }
    if (running_suspects_.contains(request.item_.fingerprint_))
    {
        return {};
    }
    apart_.clear();
    std::copy_if(from.usable_.begin(), from.usable_.end(),
                 std::back_inserter(apart_),
                 [](auto const* t) { return t->suspects_ == 0; });
    return {apart_, {}};
}

void scheduler::set_aside(waiting_request& request, placement const& where)
{
    queue_->take(request);
    request.aside_ = true;
    auto const until =
        where.target_ == nullptr ? base::time_point::max() : now_ + where.wait_;
    aside_.add({&request, where.target_, until});
}

void scheduler::run(waiting_request& request, target_state& target,
                    std::vector<action>& out)
{
    if (request.aside_)
    {
        aside_.remove(request);
    }
    else
    {
        queue_->take(request);
    }
    forget(request);
    if (parts_.protects_)
    {
        admission_.gate().on_grant(request.item_.tier_, now_);
    }
    running_request started;
    started.target_ = &target;
    started.dispatched_ = now_;
    started.cost_ = request.cost_;
    started.expected_ = target.prefixes_.match(request.item_.prefix_);
    started.cached_ =
        std::min(started.expected_.tokens_, request.item_.prompt_tokens_);
    started.suspect_ = is_suspect(request);
    started.item_ = std::move(request.item_);
    auto const id = started.item_.request_;
    out.emplace_back(grant{id, started.item_.entry_, target.config_.id_});
    start(std::move(started));
    waiting_.erase(id);
}

bool scheduler::run_aside(base::tier lowest, std::vector<action>& out)
{
    auto const* const entry =
        aside_.pick(lowest,
                    [this](aside_entry const& e)
                    {
                        auto const from = choices_for(*e.request_).usable_;
                        return e.wanted_ == nullptr
                                   ? !from.empty()
                                   : std::find(from.begin(), from.end(),
                                               e.wanted_) != from.end();
                    });
    if (entry == nullptr)
    {
        return false;
    }
    auto& request = *entry->request_;
    auto* target = entry->wanted_;
    if (target == nullptr)
    {
        auto from = choices_for(request);
        from.full_ = {};
        target = choice_->choose(request, from, now_).target_;
    }
    run(request, *target, out);
    return true;
}

// Makes one decision; false when none is due.
bool scheduler::dispatch_one(base::tier lowest, std::vector<action>& out)
{
    auto* const next = queue_->front(lowest);
    auto const tier = next == nullptr ? lowest : next->item_.tier_;
    if (!aside_.empty() && run_aside(tier, out))
    {
        return true;
    }
    if (next == nullptr)
    {
        return false;
    }
    auto const from = targets_.choices(next->item_.pool_);
    if (from.usable_.empty())
    {
        return false;
    }
    if (is_suspect(*next))
    {
        set_aside(*next, {});
        return true;
    }
    auto const where = choice_->choose(*next, from, now_);
    if (where.wait_ > base::duration::zero())
    {
        set_aside(*next, where);
        return true;
    }
    run(*next, *where.target_, out);
    return true;
}

void scheduler::dispatch(std::vector<action>& out)
{
    aside_.release(now_);
    auto const grantable = parts_.protects_
                               ? admission_.gate().lowest_grantable(now_)
                               : lowest_permitted_;
    auto const lowest = std::min(lowest_permitted_, grantable);
    while (dispatch_one(lowest, out))
    {
    }
}

void scheduler::advance(base::time_point now, std::vector<action>& out)
{
    now_ = std::max(now_, now);
    targets_.refresh(now_);
    expire();
    refuse_unserved();
    shed();
    dispatch(out);
    refusals_.flush(out);
    touched_ = false;
}

base::time_point scheduler::next_wakeup() const
{
    if (touched_)
    {
        return now_;
    }
    if (waiting_.empty())
    {
        return base::time_point::max();
    }
    return std::min({expiries_.next(), targets_.next_change(now_),
                     aside_.next_change(),
                     admission_.gate().next_change(now_)});
}

std::unique_ptr<cell_scheduler> make_scheduler(std::string_view policy)
{
    auto const* const parts = find_policy(policy);
    return parts == nullptr ? nullptr : std::make_unique<scheduler>(*parts);
}

} // namespace tanagerlead::sched
