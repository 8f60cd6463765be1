#include "src/membership/member.hpp"

#include <array>

namespace tanagerlead::membership
{

char const* to_string(member_state state)
{
    static constexpr std::array names{"alive", "suspect", "leaving", "dead"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace tanagerlead::membership
