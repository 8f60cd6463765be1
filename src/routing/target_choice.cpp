#include "src/routing/target_choice.hpp"

#include <algorithm>
#include <limits>

namespace tanagerlead::routing
{

namespace
{

/// Added to the cost of a target in another data centre, in parts of the mean.
constexpr double distance_cost = 0.4;
/// Growth of the cost from an idle to a full target, in parts.
constexpr double load_cost = 0.5;
/// Cost of a target whose answers all fail, in parts of the mean.
constexpr double failure_cost = 8.0;
/// Reading a prompt delays all that run beside it: tokens read in the time of
/// one event of theirs.
constexpr double prompt_tokens_per_event = 1500;
/// Subtracted for the target to which the shared part of the prompt belongs.
constexpr double affinity_gain = 0.25;
/// Random part of the cost, so that daemons do not all choose alike.
constexpr double cost_jitter = 0.1;
/// Requests of the first rank that may wait at a full target, so that they
/// take its next place before any daemon hears that it is free.
constexpr int urgent_places = 1;
/// Weight of the newest request in the mean of tokens.
constexpr double tokens_gain = 0.05;

int extra_places(call_item const& call)
{
    return call.urgent_ || call.begun_ ? urgent_places : 0;
}

bool was_tried(call_item const& call, dispatch_target const& t)
{
    return std::find(call.tried_.begin(), call.tried_.end(), t.info_.id_) !=
           call.tried_.end();
}

} // namespace

base::token_count tokens_of(call_item const& call)
{
    return call.work_.prompt_tokens_ + call.work_.most_output_tokens_;
}

void target_choice::on_taken(base::token_count tokens)
{
    mean_tokens_ += tokens_gain * (static_cast<double>(tokens) - mean_tokens_);
}

int target_choice::places() const
{
    int sum = 0;
    for (auto const* t : targets_)
    {
        sum += t->takes_work() ? t->info_.slots_ : 0;
    }
    return sum;
}

int target_choice::free_places(dispatch_target const& t, int others, int extra,
                               base::time_point now)
{
    if (!t.takes_work())
    {
        return 0;
    }
    auto const used = t.own_ + others;
    auto const limit = t.health_.most_outstanding(t.info_.slots_ + extra, now);
    return std::max(0, limit - used);
}

int target_choice::free_places(call_item const& call,
                               base::time_point now) const
{
    auto const extra = extra_places(call);
    int sum = 0;
    for (auto const* t : targets_)
    {
        sum += free_places(*t, others_at(*t), extra, now);
    }
    return sum;
}

double target_choice::mean_pace() const
{
    double sum = 0;
    int known = 0;
    for (auto const* t : targets_)
    {
        if (t->pace_.is_known())
        {
            sum += t->pace_.seconds_per_unit(0);
            ++known;
        }
    }
    return known == 0 ? 1.0 : sum / known;
}

double target_choice::cost(dispatch_target const& t, int others,
                           call_item const& call, double mean) const
{
    auto const used = t.own_ + others;
    auto const slots = std::max(1, t.info_.slots_);
    auto const pace = t.pace_.seconds_per_unit(mean) / mean;
    auto const load = static_cast<double>(used) / slots;
    auto const prompt = static_cast<double>(call.work_.prompt_tokens_) /
                        prompt_tokens_per_event;
    // Each request there waits while the prompt is read.
    auto const harm = pace * prompt * load;
    auto const far = t.info_.data_centre_ != *here_;
    return pace * (1.0 + load_cost * load) + harm +
           (far ? distance_cost : 0.0) + failure_cost * t.failures_.value();
}

// Rendezvous hashing: all daemons agree on the target, and a change of the
// targets moves few keys.
dispatch_target const* target_choice::home_of(std::uint64_t affinity) const
{
    dispatch_target const* home = nullptr;
    std::uint64_t highest = 0;
    for (auto const* t : targets_)
    {
        auto const weight = base::random_source{
            affinity ^ static_cast<std::uint64_t>(t->digest_)}();
        if (affinity != 0 && !t->info_.draining_ && weight >= highest)
        {
            highest = weight;
            home = t;
        }
    }
    return home;
}

bool target_choice::lacks_memory(call_item const& call,
                                 base::time_point now) const
{
    return std::any_of(targets_.begin(), targets_.end(),
                       [&](dispatch_target const* t)
                       {
                           return !was_tried(call, *t) &&
                                  free_places(*t, others_at(*t),
                                              extra_places(call), now) > 0;
                       });
}

bool target_choice::has_target(call_item const& call) const
{
    return std::any_of(targets_.begin(), targets_.end(),
                       [&](dispatch_target const* t)
                       { return t->takes_work() && !was_tried(call, *t); });
}

dispatch_target* target_choice::choose(call_item const& call,
                                       base::time_point now)
{
    auto const mean = mean_pace();
    auto const* const home = home_of(call.affinity_);
    dispatch_target* best = nullptr;
    auto lowest = std::numeric_limits<double>::max();
    for (auto* const t : targets_)
    {
        auto const others = others_at(*t);
        if (was_tried(call, *t) ||
            free_places(*t, others, extra_places(call), now) <= 0 ||
            !has_memory(*t, others, call))
        {
            continue;
        }
        auto const c = cost(*t, others, call, mean) +
                       cost_jitter * random_->uniform() -
                       (t == home ? affinity_gain : 0.0);
        if (c < lowest)
        {
            lowest = c;
            best = t;
        }
    }
    return best;
}

// A target whose memory runs out stops its newest request and reads it again
// from the start. One that fits nowhere goes to an empty target, which says
// what it thinks of it.
bool target_choice::has_memory(dispatch_target const& t, int others,
                               call_item const& call) const
{
    if (memory_tokens_ == 0 || t.own_ + others == 0)
    {
        return true;
    }
    auto const used =
        static_cast<double>(t.own_tokens_) + others * mean_tokens_;
    return used + static_cast<double>(tokens_of(call)) <=
           static_cast<double>(memory_tokens_);
}

} // namespace tanagerlead::routing
