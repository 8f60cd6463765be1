#include <tanagerlead/version.hpp>

namespace tanagerlead
{

char const* version()
{
    return "0.1.0";
}

} // namespace tanagerlead
