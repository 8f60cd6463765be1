#include "src/routing/target_selector.hpp"

#include <algorithm>
#include <limits>

namespace tanagerlead::routing
{

namespace
{

/// Added to the cost of a target in another data centre, as a fraction of the
/// mean.
constexpr double remote_cost = 0.4;
/// Relative growth of the cost from an idle to a full target.
constexpr double load_cost = 1.5;
/// Cost added for a target whose answers all fail, as a multiple of the mean.
constexpr double failure_cost = 20.0;
/// Reading this many prompt tokens costs as much as the rest of an average
/// answer.
constexpr double prompt_tokens_per_answer = 6500;
/// Delay of the requests at a full target by the reading of a prompt, as a
/// fraction of the reading time. A batch reads prompts in chunks between the
/// steps of its other requests.
constexpr double prompt_delay_fraction = 1.0 / 3.0;
/// Subtracted from the cost of the target that the shared part of the prompt is
/// assigned to.
constexpr double affinity_bonus = 0.25;
/// Part of a prompt that a target is expected to keep if all daemons prefer it
/// for that prompt, but this one has not sent it there lately.
constexpr double expected_kept_fraction = 0.5;
/// Random part of the cost, so that daemons do not all choose the same target.
constexpr double cost_jitter = 0.1;
/// Requests of the first rank that may wait at a full target, so that they take
/// its next slot before any daemon learns that it is free.
constexpr int urgent_extra_slots = 1;
/// Weight of the newest request in the mean number of tokens.
constexpr double tokens_gain = 0.05;

bool is_fast_enough(dispatch_target const& t, pending_call const& call)
{
    return !call.max_event_time_ || (t.service_time_.is_known() &&
                                     t.service_time_.seconds_per_unit(0) <=
                                         base::seconds(*call.max_event_time_));
}

int extra_slots(pending_call const& call)
{
    return call.urgent_ || call.answer_started_ ? urgent_extra_slots : 0;
}

bool was_tried(pending_call const& call, dispatch_target const& t)
{
    return std::find(call.tried_.begin(), call.tried_.end(), t.info_.id_) !=
           call.tried_.end();
}

} // namespace

base::token_count tokens_of(pending_call const& call)
{
    return call.work_.prompt_tokens_ + call.work_.max_output_tokens_;
}

void target_selector::on_assigned(base::token_count tokens)
{
    mean_tokens_ += tokens_gain * (static_cast<double>(tokens) - mean_tokens_);
}

double target_selector::slot_count(double slot_seconds,
                                   base::time_point now) const
{
    double sum = 0;
    for (auto const* t : targets_)
    {
        if (!t->takes_work() || t->is_out_ || t->is_paused(now))
        {
            continue;
        }
        auto const slots = static_cast<double>(t->info_.slots_);
        auto const* const limit = limit_of(*t);
        sum += limit == nullptr || slot_seconds == 0
                   ? slots
                   : std::min(slots, limit->rate().per_second_ * slot_seconds);
    }
    return sum;
}

std::optional<base::duration>
target_selector::first_turn(base::time_point now) const
{
    std::optional<base::duration> earliest;
    bool takes_work = false;
    for (auto const* t : targets_)
    {
        if (!t->takes_work())
        {
            continue;
        }
        takes_work = true;
        auto const pause =
            t->is_paused(now) ? t->paused_until_ - now : base::duration{};
        auto const* const limit = limit_of(*t);
        auto const turn =
            limit == nullptr ? std::optional{pause} : limit->wait(now);
        if (turn)
        {
            auto const wait = std::max(*turn, pause);
            earliest = std::min(earliest.value_or(wait), wait);
        }
    }
    return takes_work ? earliest : std::optional{base::duration{}};
}

std::optional<request_rate> target_selector::total_limit() const
{
    std::optional<request_rate> sum;
    for (auto const* t : targets_)
    {
        if (!t->takes_work())
        {
            continue;
        }
        auto const* const limit = limit_of(*t);
        if (limit == nullptr)
        {
            return std::nullopt;
        }
        sum = request_rate{sum.value_or(request_rate{}).per_second_ +
                           limit->rate().per_second_};
    }
    return sum;
}

std::optional<peer_ip> target_selector::find_slot_owner() const
{
    std::vector<peer_ip> owners;
    for (auto const* t : targets_)
    {
        if (!t->takes_work())
        {
            continue;
        }
        auto const* const own_part = brittle_->find(t->incarnation_);
        if (own_part == nullptr || own_part->slots() > 0)
        {
            return std::nullopt;
        }
        if (auto const owner = brittle_->first_sharer(t->incarnation_))
        {
            owners.push_back(*owner);
        }
    }
    if (owners.empty())
    {
        return std::nullopt;
    }
    return owners.at(random_->below(owners.size()));
}

int target_selector::free_slots(dispatch_target const& t, int peer_requests,
                                int extra, base::time_point now) const
{
    if (!t.takes_work() || t.is_out_ || t.is_paused(now))
    {
        return 0;
    }
    // Reports are late, so the slots of a brittle target are divided among the
    // daemons.
    auto const* const own_part = brittle_->find(t.incarnation_);
    auto const used = t.own_requests_ + (own_part ? 0 : peer_requests);
    auto const slots = own_part ? brittle_->usable_slots(t.incarnation_, now)
                                : t.info_.slots_ + extra;
    auto const most = t.health_.max_outstanding(slots, now);
    auto const free = std::max(0, most - used);
    auto const* const limit = limit_of(t);
    return limit == nullptr ? free : std::min(free, limit->available(now));
}

int target_selector::free_slots(pending_call const& call, scope where,
                                base::time_point now) const
{
    auto const extra = extra_slots(call);
    int sum = 0;
    for (auto const* t : targets_)
    {
        if (where == scope::all || limit_of(*t) != nullptr)
        {
            sum += free_slots(*t, peer_requests_at(*t), extra, now);
        }
    }
    return sum;
}

double target_selector::mean_service_time() const
{
    double sum = 0;
    int known = 0;
    for (auto const* t : targets_)
    {
        if (t->service_time_.is_known())
        {
            sum += t->service_time_.seconds_per_unit(0);
            ++known;
        }
    }
    // The mean is a divisor.
    return sum > 0 ? sum / known : 1.0;
}

double target_selector::cost(dispatch_target const& t, int peer_requests,
                             pending_call const& call, double kept,
                             double mean) const
{
    auto const used = t.own_requests_ + peer_requests;
    auto const slots = std::max(1, t.info_.slots_);
    auto const relative_service_time =
        t.service_time_.seconds_per_unit(mean) / mean;
    auto const load = static_cast<double>(used) / slots;
    // A slow target is slow to read as well, which decides for long prompts.
    auto const unread =
        std::max(0.0, static_cast<double>(call.work_.prompt_tokens_) - kept);
    auto const prompt = unread / prompt_tokens_per_answer;
    auto const prefill = prompt * (1.0 + prompt_delay_fraction * load);
    auto const is_remote = t.info_.data_centre_ != *local_data_centre_;
    return relative_service_time * (1.0 + load_cost * load + prefill) +
           (is_remote ? remote_cost : 0.0) + failure_cost * t.failures_.value();
}

// Rendezvous hashing: all daemons choose the same target, and a change of the
// targets moves few keys.
dispatch_target const*
target_selector::affinity_target(std::uint64_t affinity) const
{
    dispatch_target const* preferred = nullptr;
    std::uint64_t highest = 0;
    for (auto const* t : targets_)
    {
        auto const weight = base::random_source{
            affinity ^ static_cast<std::uint64_t>(t->digest_)}();
        if (affinity != 0 && t->takes_work() && !t->is_out_ &&
            weight >= highest)
        {
            highest = weight;
            preferred = t;
        }
    }
    return preferred;
}

bool target_selector::lacks_kv_capacity(pending_call const& call,
                                        base::time_point now) const
{
    return std::any_of(targets_.begin(), targets_.end(),
                       [&](dispatch_target const* t)
                       {
                           return !was_tried(call, *t) &&
                                  free_slots(*t, peer_requests_at(*t),
                                             extra_slots(call), now) > 0;
                       });
}

bool target_selector::has_target(pending_call const& call) const
{
    return std::any_of(targets_.begin(), targets_.end(),
                       [&](dispatch_target const* t)
                       { return t->takes_work() && !was_tried(call, *t); });
}

bool target_selector::may_take(dispatch_target const& t, int peer_requests,
                               pending_call const& call, scope where,
                               base::time_point now) const
{
    return !was_tried(call, t) && is_fast_enough(t, call) &&
           (where == scope::all || limit_of(t) != nullptr) &&
           free_slots(t, peer_requests, extra_slots(call), now) > 0 &&
           has_kv_capacity(t, peer_requests, call);
}

// Full targets are passed over, so more targets hold a beginning the more
// often it is requested.
dispatch_target const*
target_selector::common_holder(pending_call const& call, scope where,
                               base::time_point now) const
{
    if (!weighs_kept_parts(call) || call.prompt_.size() < 2)
    {
        return nullptr;
    }
    auto const beginning =
        static_cast<std::uint64_t>(call.prompt_.front().part_);
    dispatch_target const* preferred = nullptr;
    std::uint64_t highest = 0;
    for (auto const* t : targets_)
    {
        auto const weight = base::random_source{
            beginning ^ static_cast<std::uint64_t>(t->digest_)}();
        if (weight >= highest &&
            may_take(*t, peer_requests_at(*t), call, where, now))
        {
            highest = weight;
            preferred = t;
        }
    }
    return preferred;
}

void target_selector::on_sent(dispatch_target& t, pending_call const& call,
                              base::time_point now) const
{
    if (weighs_kept_parts(call))
    {
        auto const running = static_cast<double>(t.own_tokens_) +
                             peer_requests_at(t) * mean_tokens_;
        auto const own = static_cast<double>(tokens_of(call));
        auto const room =
            static_cast<double>(kv_capacity_tokens_) - running + own;
        t.prefixes_.on_read(call.prompt_,
                            static_cast<base::token_count>(std::max(0.0, room)),
                            now);
    }
}

dispatch_target* target_selector::choose(pending_call const& call, scope where,
                                         base::time_point now)
{
    auto const mean = mean_service_time();
    auto const weighs_kept = weighs_kept_parts(call);
    auto const* const preferred = affinity_target(call.affinity_key_);
    auto const* const holder = common_holder(call, where, now);
    double shared = 0;
    for (std::size_t i = 0; i + 1 < call.prompt_.size(); ++i)
    {
        shared += static_cast<double>(call.prompt_[i].tokens_);
    }
    auto const all = static_cast<double>(call.work_.prompt_tokens_);
    // The part that saves more time decides where daemons meet.
    auto const shares_most = 2 * shared >= all;
    dispatch_target* best = nullptr;
    auto lowest = std::numeric_limits<double>::max();
    for (auto* const t : targets_)
    {
        auto const peer_requests = peer_requests_at(*t);
        if (!may_take(*t, peer_requests, call, where, now))
        {
            continue;
        }
        double kept = 0;
        if (weighs_kept)
        {
            auto const expected = shares_most ? (t == holder ? shared : 0.0)
                                              : (t == preferred ? all : 0.0);
            kept = std::max(
                static_cast<double>(t->prefixes_.kept(call.prompt_, now)),
                expected_kept_fraction * expected);
        }
        auto const bonus =
            !weighs_kept && t == preferred ? affinity_bonus : 0.0;
        auto const c = cost(*t, peer_requests, call, kept, mean) +
                       cost_jitter * random_->uniform() - bonus;
        if (c < lowest)
        {
            lowest = c;
            best = t;
        }
    }
    return best;
}

// A target that runs out of memory stops its newest request and reads its
// prompt again from the start. A request that exceeds the memory of any target
// goes to an idle one, which answers whether it accepts it.
bool target_selector::has_kv_capacity(dispatch_target const& t,
                                      int peer_requests,
                                      pending_call const& call) const
{
    if (kv_capacity_tokens_ == 0 || t.own_requests_ + peer_requests == 0)
    {
        return true;
    }
    auto const used =
        static_cast<double>(t.own_tokens_) + peer_requests * mean_tokens_;
    return used + static_cast<double>(tokens_of(call)) <=
           static_cast<double>(kv_capacity_tokens_);
}

} // namespace tanagerlead::routing
