#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace tanagerlead::base
{

/// Standard base64 with padding, as the JSON gateway of etcd writes bytes.
std::string base64_encode(std::string_view bytes);

/// Nothing when `text` is not base64.
std::optional<std::string> base64_decode(std::string_view text);

} // namespace tanagerlead::base
