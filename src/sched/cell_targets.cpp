#include "src/sched/cell_targets.hpp"

#include "src/sched/cost.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace tanagerlead::sched
{

namespace
{

/// Represents no limit; small enough to be multiplied and summed without
/// overflow.
constexpr int unlimited = std::numeric_limits<int>::max() / 64;
/// Added to both terms of a ratio of times, so that noise in short answers does
/// not look like slowness.
constexpr double ratio_slack_seconds = 0.05;

observation make_observation(running_request const& run,
                             dispatch_report const& event)
{
    observation o;
    o.uncached_ = std::max<base::token_count>(
        run.item_.prompt_tokens_ - event.cached_tokens_, 0);
    o.output_ = event.output_tokens_;
    o.first_token_ = run.time_to_first_token_;
    o.elapsed_ = event.elapsed_;
    o.concurrency_ =
        0.5 * (run.outstanding_at_dispatch_ + run.target_->outstanding_);
    o.cost_ = cost_of(o.uncached_, o.output_);
    return o;
}

service_sample make_service_sample(observation const& o,
                                   target_model const& speed)
{
    auto const steps = o.output_ - 1;
    auto const decodes = steps > 0 && o.first_token_ > base::duration::zero();
    return {o.elapsed_, steps > 0 ? o.first_token_ : o.elapsed_,
            base::from_seconds(speed.first_token(o.uncached_)),
            decodes ? (o.elapsed_ - o.first_token_) / steps : base::duration{},
            static_cast<int>(std::lround(o.concurrency_))};
}

} // namespace

target_state* cell_targets::find(base::target_id const& id)
{
    for (auto const& t : targets_)
    {
        if (t->config_.id_ == id)
        {
            return t.get();
        }
    }
    return nullptr;
}

target_state& cell_targets::find_or_add(base::target_id const& id)
{
    if (auto* const known = find(id))
    {
        return *known;
    }
    auto added = std::make_unique<target_state>();
    added->config_.id_ = id;
    added->configured_ = false;
    added->limit_ = parts_.make_limit_();
    targets_.push_back(std::move(added));
    return *targets_.back();
}

void cell_targets::configure(cell_settings const& settings)
{
    share_ = std::clamp(settings.share_, 0.0, 1.0);
    for (auto const& t : targets_)
    {
        t->configured_ = false;
    }
    for (auto const& config : settings.targets_)
    {
        auto& t = find_or_add(config.id_);
        t.config_ = config;
        t.configured_ = true;
        t.limit_->set_slots(std::max(config.slots_, 1));
        t.generation_ = &generation_models_[config.generation_];
    }
    remove_unused();
}

void cell_targets::remove_unused()
{
    std::erase_if(targets_, [](auto const& t)
                  { return !t->configured_ && t->outstanding_ == 0; });
}

bool cell_targets::serves(base::pool_id const& pool) const
{
    return std::any_of(targets_.begin(), targets_.end(),
                       [&](auto const& t)
                       { return t->in_service() && t->serves(pool); });
}

int cell_targets::effective_limit(target_state const& target) const
{
    if (!target.in_service())
    {
        return 0;
    }
    return target.slowness_.is_straggler()
               ? 1
               : std::min(target.limit_->limit(), unlimited);
}

// A small share of a small limit is less than one request. Rounding up at every
// target would admit too many in total, so the sum is limited too.
void cell_targets::refresh(base::time_point now)
{
    double sum = 0;
    service_rate_ = 0;
    for (auto const& t : targets_)
    {
        auto const limit_share = effective_limit(*t) * share_;
        t->max_outstanding_ = t->health_.max_outstanding(
            static_cast<int>(std::ceil(limit_share)), now);
        sum += limit_share;
        auto const seconds = t->speed().seconds_per_cost();
        if (seconds > 0 && t->max_outstanding_ > 0)
        {
            service_rate_ += limit_share / seconds;
        }
    }
    max_outstanding_ = std::max(1, static_cast<int>(std::lround(sum)));
}

candidates cell_targets::find_candidates(base::pool_id const& pool)
{
    usable_.clear();
    full_.clear();
    if (outstanding_ >= max_outstanding_)
    {
        return {};
    }
    for (auto const& t : targets_)
    {
        if (!t->serves(pool))
        {
            continue;
        }
        if (t->has_room())
        {
            usable_.push_back(t.get());
        }
        else if (t->dependable())
        {
            full_.push_back(t.get());
        }
    }
    return {usable_, full_};
}

base::time_point cell_targets::next_change(base::time_point now) const
{
    auto next = base::time_point::max();
    for (auto const& t : targets_)
    {
        if (t->in_service())
        {
            next = std::min(next, t->health_.next_change(now));
        }
    }
    return next;
}

double cell_targets::fastest_service_time(workload const& work) const
{
    auto min_service_time = std::numeric_limits<double>::max();
    for (auto const& t : targets_)
    {
        if (!t->in_service())
        {
            continue;
        }
        if (!t->speed().ready())
        {
            return 0;
        }
        min_service_time =
            std::min(min_service_time, t->speed().service_time(work));
    }
    return targets_.empty() ? 0 : min_service_time;
}

void cell_targets::on_granted(target_state& target, base::time_point now)
{
    ++target.outstanding_;
    ++outstanding_;
    target.last_grant_ = now;
    target.load_.set_own_requests(target.outstanding_, now);
}

void cell_targets::on_ended(target_state& target, base::time_point now)
{
    assert(target.outstanding_ > 0 && outstanding_ > 0);
    --target.outstanding_;
    --outstanding_;
    target.load_.set_own_requests(target.outstanding_, now);
    if (!target.configured_)
    {
        remove_unused();
    }
}

void cell_targets::learn(running_request const& run,
                         dispatch_report const& event, base::time_point now)
{
    auto& target = *run.target_;
    auto const o = make_observation(run, event);
    target.limit_->on_finished(make_service_sample(o, target.speed()), now);
    auto& generation_model = generation_models_[target.config_.generation_];
    if (generation_model.ready())
    {
        auto const expected = generation_model.service_time(
            {o.uncached_, o.output_, o.concurrency_});
        target.slowness_.add((base::seconds(o.elapsed_) + ratio_slack_seconds) /
                             (expected + ratio_slack_seconds));
        update_straggler_state(target);
    }
    target.model_.add(o);
    if (!target.slowness_.is_straggler())
    {
        generation_model.add(o);
    }
}

void cell_targets::update_straggler_state(target_state& target)
{
    std::vector<slowness const*> peers;
    for (auto const& t : targets_)
    {
        if (t.get() != &target && t->in_service() &&
            t->config_.generation_ == target.config_.generation_)
        {
            peers.push_back(&t->slowness_);
        }
    }
    if (straggler_detector::update_straggler_state(target.slowness_, peers))
    {
        // Samples from before the change do not describe the new speed.
        target.model_ = {};
    }
}

} // namespace tanagerlead::sched
