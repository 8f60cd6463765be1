#pragma once

#include <string_view>

namespace tanagerlead::http
{

/// Whether a plain service gets this header of a caller.
bool passes_to_target(std::string_view name);

/// Whether a caller gets this header of a plain service's answer.
bool passes_to_caller(std::string_view name);

} // namespace tanagerlead::http
