#include "src/sched/concurrency_limit.hpp"

#include <limits>

namespace tanagerlead::sched
{

int no_limit::limit() const
{
    return std::numeric_limits<int>::max();
}

} // namespace tanagerlead::sched
