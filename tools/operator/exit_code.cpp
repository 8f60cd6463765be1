#include "tools/operator/exit_code.hpp"

namespace tanagerlead::operator_tool
{

exit_code exit_code_of(base::error_code code)
{
    switch (code)
    {
    case base::error_code::invalid_argument:
    case base::error_code::corrupt:
        return exit_code::invalid;
    case base::error_code::not_found:
        return exit_code::not_found;
    case base::error_code::conflict:
        return exit_code::conflict;
    case base::error_code::unknown_effect:
        return exit_code::unknown;
    case base::error_code::permission_denied:
        return exit_code::permission;
    case base::error_code::not_sent:
    case base::error_code::unavailable:
    case base::error_code::rate_limited:
    case base::error_code::internal:
        return exit_code::unavailable;
    }
    return exit_code::unavailable;
}

} // namespace tanagerlead::operator_tool
