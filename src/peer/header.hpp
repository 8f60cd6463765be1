#pragma once

#include <cstdint>
#include <string>

namespace tanagerlead::peer
{

/// Rises when a message changes its layout; other versions are dropped.
constexpr std::uint16_t protocol_version = 1;

/// Largest datagram sent; keeps below a common MTU.
constexpr std::size_t most_datagram_bytes = 1400;

enum class message_kind : std::uint8_t
{
    membership = 1,
    scheduling = 2,
    configuration = 3,
};

/// Keyed digest (HMAC-SHA-256, first 16 bytes) over a message.
std::string authentication_tag(std::string const& secret,
                               std::string const& bytes);

} // namespace tanagerlead::peer
