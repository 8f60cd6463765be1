#pragma once

#include "src/base/error.hpp"

/// The operators' command line.
namespace tanagerlead::operator_tool
{

/// What scripts go by.
enum class exit_code
{
    ok = 0,
    /// The document, patch or argument is wrong; nothing was written.
    invalid = 1,
    usage = 2,
    /// The base version is not the current one.
    conflict = 3,
    /// No daemon answered, or the service refused; nothing was written.
    unavailable = 4,
    /// Whether it took effect is not known.
    unknown = 5,
    /// The operator key is missing or wrong.
    permission = 6,
    not_found = 7,
    /// Accepted, and not in force everywhere within the time to wait.
    not_everywhere = 8,
};

exit_code exit_code_of(base::error_code code);

} // namespace tanagerlead::operator_tool
