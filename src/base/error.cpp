#include "src/base/error.hpp"

#include <array>

namespace tanagerlead::base
{

char const* to_string(error_code code)
{
    static constexpr std::array names{
        "invalid_argument", "not_found",   "conflict",          "not_sent",
        "unknown_effect",   "unavailable", "permission_denied", "rate_limited",
        "corrupt",          "internal",
    };
    return names.at(static_cast<std::size_t>(code));
}

std::string error::str() const
{
    std::string line = step_;
    if (!peer_.empty())
    {
        line += " at " + peer_;
    }
    line += ": ";
    line += to_string(code_);
    if (!detail_.empty())
    {
        line += ": " + detail_;
    }
    return line;
}

} // namespace tanagerlead::base
