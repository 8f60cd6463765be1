#pragma once

#include "src/base/error.hpp"

#include <string>
#include <vector>

namespace tanagerlead::operator_tool
{

/// The merge patch (RFC 7396) of assignments "POINTER=VALUE". A value that is
/// no JSON is taken as a string; null removes. Errors: `invalid_argument`.
base::result<std::string>
merge_patch_of(std::vector<std::string> const& assignments);

} // namespace tanagerlead::operator_tool
