#include "src/sched/target_choice.hpp"

#include <algorithm>

namespace tanagerlead::sched
{

target_state& round_robin_choice::choose(waiting_request const&,
                                         std::span<target_state* const> usable,
                                         base::time_point)
{
    return *usable[turn_++ % usable.size()];
}

target_state&
least_outstanding_choice::choose(waiting_request const&,
                                 std::span<target_state* const> usable,
                                 base::time_point)
{
    return **std::min_element(usable.begin(), usable.end(),
                              [](auto const* a, auto const* b)
                              { return a->outstanding_ < b->outstanding_; });
}

} // namespace tanagerlead::sched
