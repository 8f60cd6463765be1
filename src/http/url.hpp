#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerlead::http
{

/// Decoded parts of the path of a request's target, without the query. Unset
/// when the target is malformed.
std::optional<std::vector<std::string>> path_segments(std::string_view target);

/// Decoded value of the query's first parameter of that name.
std::optional<std::string> query_parameter(std::string_view target,
                                           std::string_view name);

/// Path and query, as they were written, behind the part of the path that
/// follows `prefix`; "/" when there is nothing.
std::string path_behind(std::string const& target, std::string_view prefix);

} // namespace tanagerlead::http
