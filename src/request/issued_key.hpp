#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerlead::request
{

/// Prefix of the idempotency keys that the life of a daemon with this
/// `request_id::origin_` issues: 16 hexadecimal digits and a hyphen. What
/// follows it is the caller's choice.
std::string issued_key_prefix(std::uint64_t origin);

/// Origin that issued the key; empty for a caller's own key.
std::optional<std::uint64_t> issuer_of(std::string_view key);

} // namespace tanagerlead::request
