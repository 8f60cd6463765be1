#include "src/sched/cell_targets.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace tanagerlead::sched
{

namespace
{

/// Stands for no limit and can be multiplied and summed.
constexpr int unlimited = std::numeric_limits<int>::max() / 64;

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
    }
    forget_unused();
}

void cell_targets::forget_unused()
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

// A small share of a small limit is less than one request; rounding up target
// by target would make it many, so the sum is limited too.
void cell_targets::refresh(base::time_point now)
{
    double sum = 0;
    for (auto const& t : targets_)
    {
        auto const limit =
            t->in_service() ? std::min(t->limit_->limit(), unlimited) : 0;
        auto const part = limit * share_;
        sum += part;
        t->allowed_ =
            t->health_.most_outstanding(static_cast<int>(std::ceil(part)), now);
    }
    allowed_ = std::max(1, static_cast<int>(std::lround(sum)));
}

std::span<target_state* const> cell_targets::usable(base::pool_id const& pool)
{
    usable_.clear();
    if (outstanding_ >= allowed_)
    {
        return {};
    }
    for (auto const& t : targets_)
    {
        if (t->has_room() && t->serves(pool))
        {
            usable_.push_back(t.get());
        }
    }
    return usable_;
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

void cell_targets::on_granted(target_state& target)
{
    ++target.outstanding_;
    ++outstanding_;
}

void cell_targets::on_ended(target_state& target)
{
    assert(target.outstanding_ > 0 && outstanding_ > 0);
    --target.outstanding_;
    --outstanding_;
    if (!target.configured_)
    {
        forget_unused();
    }
}

} // namespace tanagerlead::sched
