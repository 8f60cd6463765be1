#include "src/routing/brittle_targets.hpp"

#include "src/routing/report_turn.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerlead::routing
{

using namespace std::chrono_literals;

namespace
{

constexpr double milli = 1000.0;
/// Bounds of what a target may say, in rejections a second.
constexpr double min_rejections = 0.1;
constexpr double max_rejections_kept = 1e6;
/// Rejections are counted over this time.
constexpr base::duration rejection_window = 1s;
/// How long the statement of a pool is repeated in reports. It is kept for
/// longer, so that a daemon that forgets it does not hear it again.
constexpr base::duration pool_report_time = target_limits::retention / 2;
/// Part of the rejections that a target stands which the daemons may cause.
constexpr double rejection_fraction = 0.5;
/// Bounds of the time in which a daemon may be turned away once. A target may
/// have room again after a request has ended.
constexpr base::duration min_rejection_interval = 200ms;
constexpr base::duration max_rejection_interval = 10s;
/// Random part of a pause, so that daemons that were turned away together do
/// not come back together.
constexpr double pause_jitter = 0.5;

request_rate slots_of(int slots)
{
    return request_rate{static_cast<double>(slots)};
}

} // namespace

void brittle_targets::set_fleet(std::vector<peer_ip> const& daemons,
                                base::time_point now)
{
    std::erase_if(
        pools_, [now](auto const& entry)
        { return now - entry.second.stated_at_ > target_limits::retention; });
    if (slots_.empty())
    {
        slots_.set_fleet(daemons, now);
        return;
    }
    // What the former owner of a slot has at the target is not known here.
    std::map<incarnation_digest, int> before;
    for (auto const& [target, t] : targets_)
    {
        if (find(target) != nullptr)
        {
            before.emplace(target, slots_at(target));
        }
    }
    slots_.set_fleet(daemons, now);
    for (auto const& [target, slots] : before)
    {
        doubt(target, slots_at(target) - slots, now);
    }
}

int brittle_targets::slots_at(incarnation_digest target) const
{
    auto const* const part = find(target);
    return part == nullptr ? 0 : part->slots();
}

// Slots that many daemons come to doubt at one instant are tried at the rate at
// which the target stands rejections, those of the first second at once.
void brittle_targets::doubt(incarnation_digest target, int slots,
                            base::time_point now)
{
    if (slots > 0)
    {
        auto const delay =
            random_.uniform() * base::seconds(rejection_interval(target)) -
            base::seconds(rejection_window);
        doubts_[target].add(slots, base::from_seconds(std::max(0.0, delay)),
                            now);
    }
}

void brittle_targets::on_lost(incarnation_digest target, bool is_trial,
                              base::time_point now)
{
    // A slot that was tried is in doubt already.
    if (!is_trial && find(target) != nullptr)
    {
        doubt(target, 1, now);
    }
}

void brittle_targets::set_targets(std::vector<target_info> const& targets)
{
    targets_.clear();
    for (auto const& t : targets)
    {
        targets_.emplace(digest_of(t),
                         registered_target{digest_of(t.pool_.str()), t.slots_});
    }
    for (auto const& [pool, said] : pools_)
    {
        if (said.max_rejections_)
        {
            assume(pool, said.stated_at_);
        }
    }
    std::erase_if(doubts_, [this](auto const& entry)
                  { return find(entry.first) == nullptr; });
}

bool brittle_targets::on_answer(target_info const& target,
                                std::optional<request_rate> max_rejections,
                                base::time_point sent, base::time_point now)
{
    auto const pool = digest_of(target.pool_.str());
    if (max_rejections)
    {
        auto const is_new = slots_.on_answer(
            digest_of(target), slots_of(target.slots_), sent, now);
        return state_pool(pool, max_rejections, sent) || is_new;
    }
    auto const was_brittle =
        slots_.on_answer(digest_of(target), std::nullopt, sent, now);
    if (was_brittle)
    {
        state_pool(pool, std::nullopt, sent);
    }
    return was_brittle;
}

// Builds without section 13 of the reports name no pools and no number.
void brittle_targets::on_reported(limit_statement const& statement,
                                  base::time_point now)
{
    slots_.on_reported(statement, now);
    auto const registered = targets_.find(statement.target_);
    if (registered == targets_.end() || statement.milli_per_second_ == 0)
    {
        return;
    }
    auto const pool = registered->second.pool_;
    if (!pools_.contains(pool))
    {
        state_pool(pool, default_max_rejections,
                   now - std::chrono::milliseconds{statement.age_ms_});
    }
}

void brittle_targets::on_pool_reported(pool_brittleness const& reported,
                                       base::time_point now)
{
    std::optional<request_rate> max_rejections;
    if (reported.milli_rejections_per_second_ > 0)
    {
        max_rejections =
            request_rate{reported.milli_rejections_per_second_ / milli};
    }
    auto const stated = now - std::chrono::milliseconds{reported.age_ms_};
    auto const known = pools_.find(reported.pool_);
    auto const is_repeated =
        known != pools_.end() &&
        known->second.max_rejections_ == max_rejections &&
        stated - known->second.stated_at_ < target_limits::report_tolerance;
    if (!is_repeated)
    {
        state_pool(reported.pool_, max_rejections, stated);
    }
}

bool brittle_targets::state_pool(id_digest pool,
                                 std::optional<request_rate> max_rejections,
                                 base::time_point stated)
{
    auto const [entry, is_new] =
        pools_.try_emplace(pool, pool_statement{std::nullopt, stated});
    auto& said = entry->second;
    if (!is_new && stated < said.stated_at_)
    {
        return false;
    }
    auto const was_brittle = said.max_rejections_.has_value();
    said.stated_at_ = stated;
    said.max_rejections_ = max_rejections;
    if (!max_rejections)
    {
        return was_brittle;
    }
    said.max_rejections_->per_second_ = std::clamp(
        max_rejections->per_second_, min_rejections, max_rejections_kept);
    if (!was_brittle)
    {
        assume(pool, stated);
    }
    return !was_brittle;
}

void brittle_targets::assume(id_digest pool, base::time_point stated)
{
    for (auto const& [digest, t] : targets_)
    {
        if (t.pool_ == pool)
        {
            slots_.assume(digest, slots_of(t.slots_), stated);
        }
    }
}

base::duration
brittle_targets::rejection_interval(incarnation_digest target) const
{
    auto const* const part = find(target);
    auto const registered = targets_.find(target);
    if (part == nullptr || registered == targets_.end())
    {
        return max_rejection_interval;
    }
    auto const pool = pools_.find(registered->second.pool_);
    auto const rejections =
        pool == pools_.end()
            ? default_max_rejections
            : pool->second.max_rejections_.value_or(default_max_rejections);
    auto const fair = slots_.sharers(part->rate()) /
                      (rejection_fraction * rejections.per_second_);
    return std::clamp(base::from_seconds(std::min(
                          fair, base::seconds(max_rejection_interval))),
                      min_rejection_interval, max_rejection_interval);
}

int brittle_targets::usable_slots(incarnation_digest target,
                                  base::time_point now) const
{
    auto const* const part = find(target);
    if (part == nullptr)
    {
        return 0;
    }
    auto const doubt = doubts_.find(target);
    return doubt == doubts_.end() ? part->slots()
                                  : doubt->second.usable(part->slots(), now);
}

bool brittle_targets::on_sent(incarnation_digest target, int in_use,
                              base::time_point now)
{
    auto const doubt = doubts_.find(target);
    auto const* const part = find(target);
    return doubt != doubts_.end() && part != nullptr &&
           doubt->second.on_sent(part->slots(), in_use,
                                 rejection_interval(target), now);
}

void brittle_targets::on_admitted(incarnation_digest target,
                                  base::time_point now)
{
    auto const doubt = doubts_.find(target);
    if (doubt != doubts_.end())
    {
        doubt->second.on_admitted(now);
    }
}

void brittle_targets::on_rejected(incarnation_digest target, bool is_trial,
                                  base::time_point now)
{
    if (find(target) != nullptr)
    {
        auto const factor = 1.0 + pause_jitter * random_.uniform();
        doubts_[target].on_rejected(
            is_trial,
            base::from_seconds(factor *
                               base::seconds(rejection_interval(target))),
            now);
    }
}

void brittle_targets::add_to(peer_report& out, base::time_point now,
                             std::size_t first) const
{
    out.brittle_targets_ = slots_.reported(now, first, peer_report::max_limits);
    std::vector<pool_brittleness> recent;
    for (auto const& [pool, said] : pools_)
    {
        auto const age = now - said.stated_at_;
        if (age <= pool_report_time)
        {
            auto const rate =
                said.max_rejections_ ? said.max_rejections_->per_second_ : 0;
            recent.push_back(
                {pool, static_cast<std::uint32_t>(std::ceil(milli * rate)),
                 static_cast<std::uint32_t>(
                     std::max(0.0, base::milliseconds(age)))});
        }
    }
    out.brittle_pools_ =
        take_turn(recent, first, peer_report::max_brittle_pools);
}

} // namespace tanagerlead::routing
