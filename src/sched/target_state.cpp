#include "src/sched/target_state.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

bool target_state::serves(base::pool_id const& pool) const
{
    auto const& pools = config_.pools_;
    return std::find(pools.begin(), pools.end(), pool) != pools.end();
}

target_model const& target_state::speed() const
{
    auto const use_own = model_.ready() || generation_ == nullptr;
    return use_own ? model_ : *generation_;
}

} // namespace tanagerlead::sched
