#include "src/request/outcome.hpp"

#include <array>

namespace tanagerlead::request
{

char const* to_string(outcome value)
{
    static constexpr std::array names{"complete", "not_run", "unknown"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace tanagerlead::request
