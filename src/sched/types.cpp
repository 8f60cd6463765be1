#include "src/sched/types.hpp"

#include <array>

namespace tanagerlead::sched
{

char const* to_string(refusal_cause cause)
{
    static constexpr std::array names{
        "overloaded", "deadline", "workspace_limit", "quarantined",
        "no_target",  "draining", "isolated",        "store_unavailable",
    };
    return names.at(static_cast<std::size_t>(cause));
}

} // namespace tanagerlead::sched
