#include "src/sched/cell_scheduler.hpp"

namespace tanagerlead::sched
{

// Defaults for policies without overload protection.

void cell_scheduler::permit_shed_from(base::tier, base::time_point)
{
}

std::optional<base::tier> cell_scheduler::pressure() const
{
    return std::nullopt;
}

std::vector<suspicion> cell_scheduler::export_suspicions(base::time_point) const
{
    return {};
}

void cell_scheduler::import_suspicions(std::vector<suspicion> const&,
                                       base::time_point)
{
}

} // namespace tanagerlead::sched
