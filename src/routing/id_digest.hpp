#pragma once

#include <cstdint>
#include <string>

namespace tanagerlead::routing
{

/// Hash of an id, used between daemons; equal ids have equal digests.
enum class id_digest : std::uint32_t
{
};

id_digest digest_of(std::string const& id);

} // namespace tanagerlead::routing
