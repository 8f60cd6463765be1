#include "src/routing/slot_doubt.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

namespace
{

using namespace std::chrono_literals;

/// Longest pause after many rejections at once.
constexpr base::duration max_pause = 10s;

} // namespace

int slot_doubt::usable(int own, base::time_point now) const
{
    auto const in_doubt = std::min(slots_, own);
    auto const tried = in_doubt > 0 && now >= next_try_ ? 1 : 0;
    return own - in_doubt + tried;
}

bool slot_doubt::on_sent(int own, int in_use, base::duration pause,
                         base::time_point now)
{
    slots_ = std::min(slots_, own);
    if (slots_ == 0 || in_use < own - slots_)
    {
        return false;
    }
    next_try_ = std::max(next_try_, now + pause);
    return true;
}

void slot_doubt::on_admitted(base::time_point now)
{
    slots_ = std::max(0, slots_ - 1);
    next_try_ = now;
}

void slot_doubt::on_rejected(bool is_trial, base::duration pause,
                             base::time_point now)
{
    if (is_trial)
    {
        next_try_ = std::max(next_try_, now + pause);
        return;
    }
    ++slots_;
    next_try_ = std::min(std::max(next_try_, now) + pause, now + max_pause);
}

void slot_doubt::add(int slots, base::duration delay, base::time_point now)
{
    if (slots_ == 0)
    {
        next_try_ = now + delay;
    }
    slots_ += slots;
}

} // namespace tanagerlead::routing
