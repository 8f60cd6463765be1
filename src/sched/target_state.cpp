#include "src/sched/target_state.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

bool target_state::serves(base::pool_id const& pool) const
{
    auto const& pools = config_.pools_;
    return std::find(pools.begin(), pools.end(), pool) != pools.end();
}

} // namespace tanagerlead::sched
