#include "src/routing/target_limits.hpp"

#include "src/routing/report_turn.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerlead::routing
{

namespace
{

constexpr double milli = 1000.0;

/// Orders the daemons differently for each target.
std::uint64_t weight_of(incarnation_digest target, peer_ip daemon)
{
    return rendezvous_rank(daemon, static_cast<std::uint64_t>(target));
}

} // namespace

double target_limit::level_at(base::time_point now) const
{
    auto const most =
        1.0 + share_.per_second_ * base::seconds(target_limits::burst_time);
    auto const passed = std::max(0.0, base::seconds(now - refilled_at_));
    return std::min(most, level_ + passed * share_.per_second_);
}

void target_limit::set_share(request_rate rate, request_rate share,
                             base::time_point now)
{
    level_ = level_at(now);
    refilled_at_ = now;
    rate_ = rate;
    share_ = share;
}

int target_limit::available(base::time_point now) const
{
    return static_cast<int>(level_at(now));
}

std::optional<base::duration> target_limit::wait(base::time_point now) const
{
    if (share_.per_second_ == 0)
    {
        return std::nullopt;
    }
    auto const missing = std::max(0.0, 1.0 - level_at(now));
    return base::from_seconds(missing / share_.per_second_);
}

void target_limits::set_fleet(std::vector<peer_ip> daemons,
                              base::time_point now)
{
    std::sort(daemons.begin(), daemons.end());
    if (daemons == daemons_)
    {
        return;
    }
    daemons_ = std::move(daemons);
    for (auto& [target, said] : statements_)
    {
        if (said.limit_)
        {
            auto const rate = said.limit_->rate();
            said.limit_->set_share(rate, share_of(target, rate), now);
        }
    }
}

double target_limits::sharers(request_rate rate) const
{
    return std::clamp(std::floor(rate.per_second_), 1.0,
                      std::max(1.0, static_cast<double>(daemons_.size())));
}

request_rate target_limits::share_of(incarnation_digest target,
                                     request_rate rate) const
{
    if (!std::binary_search(daemons_.begin(), daemons_.end(), self_))
    {
        return {};
    }
    auto const sharing = sharers(rate);
    auto const own = weight_of(target, self_);
    auto const above = std::count_if(
        daemons_.begin(), daemons_.end(),
        [&](peer_ip daemon) { return weight_of(target, daemon) > own; });
    return static_cast<double>(above) < sharing
               ? request_rate{rate.per_second_ / sharing}
               : request_rate{};
}

std::optional<peer_ip>
target_limits::first_sharer(incarnation_digest target) const
{
    auto const first =
        std::max_element(daemons_.begin(), daemons_.end(),
                         [&](peer_ip a, peer_ip b) {
                             return weight_of(target, a) < weight_of(target, b);
                         });
    return first == daemons_.end() ? std::nullopt : std::optional{*first};
}

bool target_limits::on_answer(incarnation_digest target,
                              std::optional<request_rate> limit,
                              base::time_point sent, base::time_point now)
{
    if (!limit && !statements_.contains(target))
    {
        return false;
    }
    return state(target, limit, sent, now);
}

bool target_limits::on_reported(limit_statement const& reported,
                                base::time_point now)
{
    std::optional<request_rate> limit;
    if (reported.milli_per_second_ > 0)
    {
        limit = request_rate{reported.milli_per_second_ / milli};
    }
    auto const stated = now - std::chrono::milliseconds{reported.age_ms_};
    auto const known = statements_.find(reported.target_);
    if (known != statements_.end() && known->second.says(limit) &&
        stated - known->second.stated_at_ < report_tolerance)
    {
        return false;
    }
    return state(reported.target_, limit, stated, now);
}

void target_limits::assume(incarnation_digest target, request_rate limit,
                           base::time_point stated)
{
    if (!statements_.contains(target))
    {
        state(target, limit, stated, stated);
    }
}

bool target_limits::state(incarnation_digest target,
                          std::optional<request_rate> limit,
                          base::time_point stated, base::time_point now)
{
    auto const [entry, is_new] =
        statements_.try_emplace(target, statement{std::nullopt, stated});
    if (is_new)
    {
        expire(now);
    }
    auto& said = entry->second;
    if (!is_new && stated < said.stated_at_)
    {
        return false;
    }
    said.stated_at_ = stated;
    if (!limit)
    {
        auto const had_limit = said.limit_.has_value();
        said.limit_.reset();
        return had_limit;
    }
    auto const rate = request_rate{std::clamp(
        limit->per_second_, min_rate.per_second_, max_rate.per_second_)};
    if (!said.limit_)
    {
        // The share fills up from nothing, since others may have used it.
        said.limit_.emplace();
        said.limit_->refilled_at_ = now;
    }
    else if (said.limit_->rate() == rate)
    {
        return false;
    }
    said.limit_->set_share(rate, share_of(target, rate), now);
    return true;
}

target_limit const* target_limits::find(incarnation_digest target) const
{
    auto const found = statements_.find(target);
    return found == statements_.end() || !found->second.limit_
               ? nullptr
               : &*found->second.limit_;
}

void target_limits::on_sent(incarnation_digest target, base::time_point now)
{
    auto const found = statements_.find(target);
    if (found != statements_.end() && found->second.limit_)
    {
        auto& limit = *found->second.limit_;
        limit.level_ = std::max(0.0, limit.level_at(now) - 1.0);
        limit.refilled_at_ = now;
    }
}

void target_limits::on_not_sent(incarnation_digest target, base::time_point now)
{
    auto const found = statements_.find(target);
    if (found != statements_.end() && found->second.limit_)
    {
        auto& limit = *found->second.limit_;
        limit.level_ = limit.level_at(now) + 1.0;
        limit.refilled_at_ = now;
        limit.level_ = limit.level_at(now);
    }
}

std::vector<limit_statement> target_limits::reported(base::time_point now,
                                                     std::size_t first,
                                                     std::size_t most) const
{
    std::vector<limit_statement> recent;
    for (auto const& [target, said] : statements_)
    {
        auto const age = now - said.stated_at_;
        if (age <= report_time)
        {
            auto const rate = said.limit_ ? said.limit_->rate().per_second_ : 0;
            auto const age_ms = std::max(0.0, base::milliseconds(age));
            recent.push_back({target, static_cast<std::uint32_t>(milli * rate),
                              static_cast<std::uint16_t>(age_ms)});
        }
    }
    return take_turn(recent, first, most);
}

std::size_t target_limits::count() const
{
    return static_cast<std::size_t>(std::count_if(
        statements_.begin(), statements_.end(),
        [](auto const& entry) { return entry.second.limit_.has_value(); }));
}

void target_limits::expire(base::time_point now)
{
    std::erase_if(statements_, [&](auto const& entry)
                  { return now - entry.second.stated_at_ > retention; });
}

} // namespace tanagerlead::routing
