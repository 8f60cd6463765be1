#pragma once

#include <string>
#include <string_view>

namespace tanagerlead::config
{

/// SHA-256 as 64 hexadecimal digits; how keys are stored.
std::string sha256_hex(std::string_view text);

/// Takes the same time wherever the texts differ.
bool equal_in_constant_time(std::string_view a, std::string_view b);

} // namespace tanagerlead::config
