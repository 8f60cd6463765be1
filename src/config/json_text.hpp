#pragma once

#include "src/config/field_error.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>
#include <vector>

namespace tanagerlead::config
{

/// Parses JSON and notes what is malformed and every key that stands twice in
/// one object, which a plain parser lets pass. Null when malformed.
nlohmann::json parse_json(std::string_view text,
                          std::vector<field_error>& errors);

} // namespace tanagerlead::config
