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

/// Retry time, in seconds, if there is no backlog to estimate it from.
constexpr double default_retry_seconds = 1.0;
/// Delay before a refusal that is not permitted yet is checked again.
constexpr base::duration shed_recheck_interval = 100ms;
constexpr std::size_t max_exported_suspicions = 256;

/// Orders requests by id, so that decisions do not depend on hash seeds.
bool precedes(base::request_id const& a, base::request_id const& b)
{
    return std::tie(a.origin_, a.sequence_) < std::tie(b.origin_, b.sequence_);
}

} // namespace

scheduler::scheduler(policy const& scheduling_policy)
    : policy_{scheduling_policy}, queue_{scheduling_policy.make_queue_()},
      choice_{scheduling_policy.make_choice_()}, targets_{scheduling_policy}
{
}

void scheduler::configure(cell_settings const& settings)
{
    refusals_.set_seed(settings.seed_);
    deferred_.release_all();
    targets_.configure(settings);
    admission_.configure(settings);
    queue_->set_weights(workspaces_.configure(settings.workspaces_));
    targets_changed_ = true;
    has_new_events_ = true;
}

void scheduler::record_event(base::time_point now)
{
    now_ = std::max(now_, now);
    has_new_events_ = true;
}

bool scheduler::is_known(base::request_id request) const
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
    auto const service = policy_.has_overload_protection_
                             ? targets_.fastest_service_time(
                                   {0, request.expected_output_tokens_, 1})
                             : 0.0;
    auto const latest_start = item.deadline_ - base::from_seconds(service);
    if (latest_start < request.expires_)
    {
        request.expires_ = latest_start;
        request.expiry_cause_ = refusal_cause::deadline;
    }
}

std::unique_ptr<waiting_request>
scheduler::make_waiting_request(work_item const& item, base::time_point now)
{
    auto request = std::make_unique<waiting_request>();
    request->item_ = item;
    request->item_.tier_ =
        std::min(item.tier_, base::tier{base::max_tiers - 1});
    request->expected_output_tokens_ = lengths_.estimate(item);
    request->cost_ =
        cost_of(item.prompt_tokens_, request->expected_output_tokens_);
    request->enqueued_ = now;
    request->workspace_ = &workspaces_.find_or_add(item.workspace_);
    // Counting the request here keeps its workspace in the table.
    ++request->workspace_->waiting_;
    set_expiry(*request);
    return request;
}

std::optional<refusal_cause>
scheduler::find_refusal_cause(waiting_request const& request,
                              base::time_point now) const
{
    auto const& item = request.item_;
    if (!targets_.serves(item.pool_))
    {
        return refusal_cause::no_target;
    }
    if (policy_.has_overload_protection_ &&
        quarantine_.is_blocked(item.fingerprint_, now))
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
    return policy_.has_overload_protection_
               ? admission_.refusal_for(request, *queue_,
                                        targets_.service_rate(), now)
               : std::nullopt;
}

void scheduler::enqueue(work_item const& item, base::time_point now)
{
    if (is_known(item.request_))
    {
        return;
    }
    record_event(now);
    auto request = make_waiting_request(item, now);
    if (auto const cause = find_refusal_cause(*request, now))
    {
        workspaces_.on_request_removed(*request->workspace_);
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

void scheduler::untrack(waiting_request const& request)
{
    expiries_.remove(request.expires_, request.item_.request_);
    workspaces_.on_request_removed(*request.workspace_);
}

std::unique_ptr<waiting_request> scheduler::remove(base::request_id request)
{
    auto const found = waiting_.find(request);
    assert(found != waiting_.end());
    auto removed = std::move(found->second);
    waiting_.erase(found);
    if (removed->is_deferred_)
    {
        deferred_.remove(*removed);
        queue_->charge(removed->item_.workspace_, removed->item_.tier_,
                       -removed->cost_);
    }
    else
    {
        queue_->erase(*removed);
    }
    untrack(*removed);
    return removed;
}

void scheduler::withdraw(base::request_id request, base::time_point now)
{
    record_event(now);
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
    record_event(now);
    if (waiting_.contains(item.request_))
    {
        remove(item.request_);
    }
    running_request run;
    run.item_ = item;
    run.target_ = &targets_.find_or_add(target);
    run.dispatched_ = now;
    run.cost_ = cost_of(item.prompt_tokens_, lengths_.estimate(item));
    start(std::move(run));
}

void scheduler::start(running_request run)
{
    auto& target = *run.target_;
    targets_.on_granted(target, now_);
    run.outstanding_at_dispatch_ = target.outstanding_;
    target.prefilling_ += run.item_.prompt_tokens_ - run.cached_prompt_tokens_;
    if (policy_.has_overload_protection_)
    {
        target.prefixes_.add(run.item_.prefix_);
    }
    if (run.is_suspect_)
    {
        ++target.suspect_count_;
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
    if (run.is_prefilling_)
    {
        target.prefilling_ -=
            run.item_.prompt_tokens_ - run.cached_prompt_tokens_;
    }
    if (run.is_suspect_)
    {
        --target.suspect_count_;
        running_suspects_.erase(run.item_.fingerprint_);
    }
    targets_.on_ended(target, now_);
}

void scheduler::report(dispatch_report const& event, base::time_point now)
{
    record_event(now);
    auto const found = in_flight_.find(event.request_);
    if (found == in_flight_.end())
    {
        return;
    }
    apply(event, found->second);
    auto const is_running = event.event_ == dispatch_event::started ||
                            event.event_ == dispatch_event::first_token;
    if (!is_running)
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
    run.time_to_first_token_ = std::max(elapsed, base::duration{1});
    if (std::exchange(run.is_prefilling_, false))
    {
        target.prefilling_ -=
            run.item_.prompt_tokens_ - run.cached_prompt_tokens_;
    }
}

void scheduler::on_finished(running_request& run, dispatch_report const& event)
{
    run.target_->health_.on_progress(now_);
    run.target_->prefixes_.adjust_capacity(run.expected_prefix_,
                                           event.cached_tokens_);
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
    record_event(now);
    if (auto* const target = targets_.find(load.target_))
    {
        target->load_.observe(load, now);
    }
}

void scheduler::set_leaving(base::target_id const& target, bool leaving,
                            base::time_point now)
{
    record_event(now);
    if (auto* const state = targets_.find(target))
    {
        state->leaving_ = leaving;
        targets_changed_ = true;
    }
}

void scheduler::permit_down_to(base::tier lowest, base::time_point now)
{
    record_event(now);
    lowest_permitted_ = lowest;
}

void scheduler::permit_shed_from(base::tier highest, base::time_point now)
{
    record_event(now);
    admission_.permit_shed_from(highest);
}

std::optional<base::tier> scheduler::pressure() const
{
    return policy_.has_overload_protection_
               ? admission_.pressure(*queue_, targets_.service_rate())
               : std::nullopt;
}

std::vector<suspicion> scheduler::export_suspicions(base::time_point now) const
{
    return quarantine_.export_suspicions(now, max_exported_suspicions);
}

void scheduler::import_suspicions(std::vector<suspicion> const& suspicions,
                                  base::time_point now)
{
    record_event(now);
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
        return default_retry_seconds;
    }
    // A retry can succeed once the predicted wait is within the longest wait.
    auto const longest = base::seconds(admission_.longest_wait(item.tier_));
    return cause == refusal_cause::overloaded
               ? std::max(wait - longest, default_retry_seconds)
               : wait;
}

void scheduler::refuse(work_item const& item, refusal_cause cause)
{
    if (policy_.has_overload_protection_ && cause == refusal_cause::overloaded)
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

void scheduler::postpone_expiry(waiting_request& request)
{
    auto const id = request.item_.request_;
    auto const earliest_shed =
        admission_.gate().earliest_shed(request.item_.tier_, now_);
    expiries_.remove(request.expires_, id);
    request.expires_ = std::max(earliest_shed, now_ + shed_recheck_interval);
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
        auto const sheds = policy_.has_overload_protection_ &&
                           request.expiry_cause_ == refusal_cause::overloaded;
        if (sheds && !admission_.may_shed(request.item_.tier_, now_))
        {
            postpone_expiry(request);
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
    std::sort(unserved.begin(), unserved.end(), precedes);
    for (auto const& id : unserved)
    {
        refuse_waiting(id, refusal_cause::no_target);
    }
}

void scheduler::shed()
{
    if (!policy_.has_overload_protection_)
    {
        return;
    }
    auto const victims =
        admission_.requests_to_shed(*queue_, targets_.service_rate(), now_);
    for (auto const* victim : victims)
    {
        refuse_waiting(victim->item_.request_, refusal_cause::overloaded);
    }
}

bool scheduler::is_suspect(waiting_request const& request) const
{
    return policy_.has_overload_protection_ &&
           quarantine_.is_suspect(request.item_.fingerprint_, now_);
}

// Only one copy of a suspect runs at a time, and no two suspects run on one
// target. Then the loss of a target points to a single suspect, and the others
// are cleared when they finish.
candidates scheduler::candidates_for(waiting_request const& request)
{
    auto from = targets_.find_candidates(request.item_.pool_);
    if (!is_suspect(request))
    {
        return from;
    }
    if (running_suspects_.contains(request.item_.fingerprint_))
    {
        return {};
    }
    suspect_free_targets_.clear();
    std::copy_if(from.usable_.begin(), from.usable_.end(),
                 std::back_inserter(suspect_free_targets_),
                 [](auto const* t) { return t->suspect_count_ == 0; });
    return {suspect_free_targets_, {}};
}

void scheduler::defer(waiting_request& request, placement const& where)
{
    queue_->take(request);
    request.is_deferred_ = true;
    auto const until =
        where.target_ == nullptr ? base::time_point::max() : now_ + where.wait_;
    deferred_.add({&request, where.target_, until});
}

void scheduler::dispatch_to(waiting_request& request, target_state& target,
                            std::vector<action>& out)
{
    if (request.is_deferred_)
    {
        deferred_.remove(request);
    }
    else
    {
        queue_->take(request);
    }
    untrack(request);
    if (policy_.has_overload_protection_)
    {
        admission_.gate().on_grant(request.item_.tier_, now_);
    }
    running_request started;
    started.target_ = &target;
    started.dispatched_ = now_;
    started.cost_ = request.cost_;
    started.expected_prefix_ = target.prefixes_.match(request.item_.prefix_);
    started.cached_prompt_tokens_ = std::min(started.expected_prefix_.tokens_,
                                             request.item_.prompt_tokens_);
    started.is_suspect_ = is_suspect(request);
    started.item_ = std::move(request.item_);
    auto const id = started.item_.request_;
    out.emplace_back(grant{id, started.item_.entry_, target.config_.id_});
    start(std::move(started));
    waiting_.erase(id);
}

bool scheduler::dispatch_deferred(base::tier lowest, std::vector<action>& out)
{
    auto const* const entry = deferred_.pick(
        lowest,
        [this](deferred_request const& e)
        {
            auto const from = candidates_for(*e.request_).usable_;
            return e.preferred_target_ == nullptr
                       ? !from.empty()
                       : std::find(from.begin(), from.end(),
                                   e.preferred_target_) != from.end();
        });
    if (entry == nullptr)
    {
        return false;
    }
    auto& request = *entry->request_;
    auto* target = entry->preferred_target_;
    if (target == nullptr)
    {
        auto from = candidates_for(request);
        from.full_ = {};
        target = choice_->choose(request, from, now_).target_;
    }
    dispatch_to(request, *target, out);
    return true;
}

// Dispatches or defers one request; returns false if there is none to handle.
bool scheduler::dispatch_one(base::tier lowest, std::vector<action>& out)
{
    auto* const next = queue_->front(lowest);
    auto const tier = next == nullptr ? lowest : next->item_.tier_;
    if (!deferred_.empty() && dispatch_deferred(tier, out))
    {
        return true;
    }
    if (next == nullptr)
    {
        return false;
    }
    auto const from = targets_.find_candidates(next->item_.pool_);
    if (from.usable_.empty())
    {
        return false;
    }
    if (is_suspect(*next))
    {
        defer(*next, {});
        return true;
    }
    auto const where = choice_->choose(*next, from, now_);
    if (where.wait_ > base::duration::zero())
    {
        defer(*next, where);
        return true;
    }
    dispatch_to(*next, *where.target_, out);
    return true;
}

void scheduler::dispatch(std::vector<action>& out)
{
    deferred_.release_due(now_);
    auto const grantable = policy_.has_overload_protection_
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
    has_new_events_ = false;
}

base::time_point scheduler::next_wakeup() const
{
    if (has_new_events_)
    {
        return now_;
    }
    if (waiting_.empty())
    {
        return base::time_point::max();
    }
    return std::min({expiries_.next(), targets_.next_change(now_),
                     deferred_.next_change(),
                     admission_.gate().next_change(now_)});
}

std::unique_ptr<cell_scheduler> make_scheduler(std::string_view policy)
{
    auto const* const scheduling_policy = find_policy(policy);
    return scheduling_policy == nullptr
               ? nullptr
               : std::make_unique<scheduler>(*scheduling_policy);
}

} // namespace tanagerlead::sched
