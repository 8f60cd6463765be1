#pragma once

#include <optional>
#include <string>

namespace tanagerlead::tools
{

/// Prints what is wrong with a configuration document, a line each, and what it
/// changes if `in_force`, the document in force, is given. Returns the exit
/// code: 0 nothing is wrong, 2 a document cannot be read, 3 it has entries that
/// never match or limits that contradict each other.
int report_configuration(std::string const& document,
                         std::optional<std::string> const& in_force);

} // namespace tanagerlead::tools
