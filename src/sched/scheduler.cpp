#include "src/sched/scheduler.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace tanagerlead::sched
{

using namespace std::chrono_literals;

namespace
{

/// For a tier that the configuration does not name.
constexpr base::duration default_longest_wait = 30s;
constexpr base::duration least_retry = 200ms;
/// Advised when no backlog tells how long to wait.
constexpr base::duration default_retry = 1s;
/// Advice varies by this part of itself to both sides.
constexpr double retry_jitter = 0.25;
/// Prompt tokens are processed in parallel and cost this part of an output
/// token.
constexpr double prompt_token_cost = 0.1;
/// Part of the most output tokens expected without any history.
constexpr double expected_part_of_most = 0.25;

double cost_of(base::token_count prompt, base::token_count output)
{
    return 1.0 + prompt_token_cost * static_cast<double>(prompt) +
           static_cast<double>(output);
}

} // namespace

scheduler::scheduler(policy const& parts)
    : parts_{parts}, queue_{parts.make_queue_()}, choice_{parts.make_choice_()},
      targets_{parts}, random_{0}
{
    longest_wait_.fill(default_longest_wait);
}

void scheduler::configure(cell_settings const& settings)
{
    random_ = base::random_source{settings.seed_};
    targets_.configure(settings);
    longest_wait_.fill(default_longest_wait);
    for (auto const& t : settings.tiers_)
    {
        longest_wait_.at(base::index(t.tier_)) = t.longest_wait_;
    }
    for (auto& [id, state] : workspaces_)
    {
        state.configured_ = false;
        state.most_waiting_ = 0;
    }
    workspace_weights weights;
    for (auto const& w : settings.workspaces_)
    {
        auto& state = workspaces_[w.id_];
        state.configured_ = true;
        state.most_waiting_ = w.most_waiting_;
        weights[w.id_] = w.weight_;
    }
    absl::erase_if(
        workspaces_, [](auto const& entry)
        { return !entry.second.configured_ && entry.second.waiting_ == 0; });
    queue_->set_weights(std::move(weights));
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
           refused_.contains(request);
}

void scheduler::set_expiry(waiting_request& request) const
{
    auto const& item = request.item_;
    request.expires_ =
        item.received_ + longest_wait_.at(base::index(item.tier_));
    request.expiry_cause_ = refusal_cause::overloaded;
    if (item.deadline_ < request.expires_)
    {
        request.expires_ = item.deadline_;
        request.expiry_cause_ = refusal_cause::deadline;
    }
}

std::unique_ptr<waiting_request> scheduler::prepare(work_item const& item,
                                                    base::time_point now) const
{
    auto request = std::make_unique<waiting_request>();
    request->item_ = item;
    request->item_.tier_ =
        std::min(item.tier_, base::tier{base::max_tiers - 1});
    request->expected_output_ = static_cast<base::token_count>(
        expected_part_of_most * static_cast<double>(item.most_output_tokens_));
    request->cost_ = cost_of(item.prompt_tokens_, request->expected_output_);
    request->enqueued_ = now;
    set_expiry(*request);
    return request;
}

bool scheduler::over_workspace_limit(base::workspace_id const& workspace) const
{
    auto const found = workspaces_.find(workspace);
    return found != workspaces_.end() && found->second.most_waiting_ > 0 &&
           found->second.waiting_ >= found->second.most_waiting_;
}

void scheduler::enqueue(work_item const& item, base::time_point now)
{
    if (known(item.request_))
    {
        return;
    }
    touch(now);
    auto request = prepare(item, now);
    if (!targets_.serves(item.pool_))
    {
        refuse(item, refusal_cause::no_target);
    }
    else if (over_workspace_limit(item.workspace_))
    {
        refuse(item, refusal_cause::workspace_limit);
    }
    else if (request->expires_ <= now)
    {
        refuse(item, request->expiry_cause_);
    }
    else
    {
        admit(std::move(request));
    }
}

void scheduler::admit(std::unique_ptr<waiting_request> request)
{
    auto const id = request->item_.request_;
    ++workspaces_[request->item_.workspace_].waiting_;
    expiries_.add(request->expires_, id);
    queue_->push(*request);
    waiting_.emplace(id, std::move(request));
}

void scheduler::forget(waiting_request const& request)
{
    expiries_.remove(request.expires_, request.item_.request_);
    auto const found = workspaces_.find(request.item_.workspace_);
    assert(found != workspaces_.end() && found->second.waiting_ > 0);
    --found->second.waiting_;
    if (found->second.waiting_ == 0 && !found->second.configured_)
    {
        workspaces_.erase(found);
    }
}

std::unique_ptr<waiting_request> scheduler::remove(base::request_id request)
{
    auto const found = waiting_.find(request);
    assert(found != waiting_.end());
    auto removed = std::move(found->second);
    waiting_.erase(found);
    queue_->erase(*removed);
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
    else if (refused_.erase(request) > 0)
    {
        std::erase_if(refusals_,
                      [&](auto const& r) { return r.request_ == request; });
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
    auto& state = targets_.find_or_add(target);
    targets_.on_granted(state);
    in_flight_.emplace(item.request_,
                       running_request{item, &state, now,
                                       cost_of(item.prompt_tokens_,
                                               item.most_output_tokens_)});
}

void scheduler::end(base::request_id request)
{
    auto const found = in_flight_.find(request);
    auto* const target = found->second.target_;
    in_flight_.erase(found);
    targets_.on_ended(*target);
}

void scheduler::report(dispatch_report const& event, base::time_point now)
{
    touch(now);
    auto const found = in_flight_.find(event.request_);
    if (found == in_flight_.end())
    {
        return;
    }
    apply(event, found->second, now);
    auto const goes_on = event.event_ == dispatch_event::started ||
                         event.event_ == dispatch_event::first_token;
    if (!goes_on)
    {
        end(event.request_);
    }
}

void scheduler::apply(dispatch_report const& event, running_request const& run,
                      base::time_point now)
{
    auto& target = *run.target_;
    switch (event.event_)
    {
    case dispatch_event::first_token:
        target.health_.on_progress(now);
        break;
    case dispatch_event::finished:
        target.health_.on_progress(now);
        target.limit_->on_finished(
            {event.elapsed_, run.cost_, target.outstanding_}, now);
        break;
    case dispatch_event::not_sent:
    case dispatch_event::target_lost:
        target.health_.on_lost(run.dispatched_, now);
        break;
    case dispatch_event::target_error:
        target.health_.on_error(run.dispatched_, now);
        break;
    case dispatch_event::started:
    case dispatch_event::cancelled:
    case dispatch_event::declined:
        break;
    }
}

void scheduler::observe(target_load const&, base::time_point now)
{
    touch(now);
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

base::duration scheduler::retry_after(work_item const&, refusal_cause)
{
    auto const factor = 1 + retry_jitter * (2 * random_.uniform() - 1);
    auto const advice =
        base::from_seconds(base::seconds(default_retry) * factor);
    return std::max(advice, least_retry);
}

void scheduler::refuse(work_item const& item, refusal_cause cause)
{
    refused_.insert(item.request_);
    refusals_.push_back(
        {item.request_, item.entry_, cause, retry_after(item, cause)});
}

void scheduler::refuse_waiting(base::request_id request, refusal_cause cause)
{
    auto const removed = remove(request);
    refuse(removed->item_, cause);
}

void scheduler::expire(base::time_point now)
{
    while (expiries_.due(now))
    {
        auto const request = expiries_.first();
        refuse_waiting(request, waiting_.at(request)->expiry_cause_);
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
    std::sort(unserved.begin(), unserved.end(),
              [](auto const& a, auto const& b)
              {
                  return std::tie(a.origin_, a.sequence_) <
                         std::tie(b.origin_, b.sequence_);
              });
    for (auto const& id : unserved)
    {
        refuse_waiting(id, refusal_cause::no_target);
    }
}

void scheduler::run(waiting_request& request, target_state& target,
                    base::time_point now, std::vector<action>& out)
{
    queue_->take(request);
    forget(request);
    targets_.on_granted(target);
    auto const id = request.item_.request_;
    out.emplace_back(grant{id, request.item_.entry_, target.config_.id_});
    in_flight_.emplace(id, running_request{std::move(request.item_), &target,
                                           now, request.cost_});
    waiting_.erase(id);
}

void scheduler::dispatch(base::time_point now, std::vector<action>& out)
{
    while (auto* const request = queue_->front(lowest_permitted_))
    {
        auto const usable = targets_.usable(request->item_.pool_);
        if (usable.empty())
        {
            return;
        }
        run(*request, choice_->choose(*request, usable, now), now, out);
    }
}

void scheduler::advance(base::time_point now, std::vector<action>& out)
{
    now_ = std::max(now_, now);
    expire(now_);
    refuse_unserved();
    targets_.refresh(now_);
    dispatch(now_, out);
    out.insert(out.end(), refusals_.begin(), refusals_.end());
    refusals_.clear();
    refused_.clear();
    touched_ = false;
}

base::time_point scheduler::next_wakeup() const
{
    if (touched_)
    {
        return now_;
    }
    auto const recovery =
        waiting_.empty() ? base::time_point::max() : targets_.next_change(now_);
    return std::min(expiries_.next(), recovery);
}

std::unique_ptr<cell_scheduler> make_scheduler(std::string_view policy)
{
    auto const* const parts = find_policy(policy);
    return parts == nullptr ? nullptr : std::make_unique<scheduler>(*parts);
}

} // namespace tanagerlead::sched
