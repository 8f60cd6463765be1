#pragma once

#include "src/request/request_record.hpp"

#include <string_view>

namespace tanagerlead::http
{

/// Reads `usage` from a model engine's answer or last chunk; zeros when it has
/// none.
request::token_usage parse_usage(std::string_view json);

} // namespace tanagerlead::http
