#include "src/sched/policy.hpp"

#include "src/sched/adaptive_limit.hpp"
#include "src/sched/fair_queue.hpp"
#include "src/sched/fifo_queue.hpp"

#include <array>

namespace tanagerlead::sched
{

namespace
{

template <class Base, class Derived>
std::unique_ptr<Base> make()
{
    return std::make_unique<Derived>();
}

constexpr std::array policies{
    policy{"tanagerlead", make<waiting_queue, fair_queue>,
           make<target_choice, earliest_finish_choice>,
           make<concurrency_limit, adaptive_limit>, true},
    policy{"fifo_round_robin", make<waiting_queue, fifo_queue>,
           make<target_choice, round_robin_choice>,
           make<concurrency_limit, no_limit>, false},
    policy{"least_outstanding", make<waiting_queue, fifo_queue>,
           make<target_choice, least_outstanding_choice>,
           make<concurrency_limit, slots_limit>, false},
};

} // namespace

policy const* find_policy(std::string_view name)
{
    for (auto const& p : policies)
    {
        if (p.name_ == name)
        {
            return &p;
        }
    }
    return nullptr;
}

} // namespace tanagerlead::sched
