#pragma once

#include "src/base/units.hpp"
#include "src/routing/stream_origin.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace tanagerlead::routing
{

/// Why the version that began a stream could not be found out.
enum class origin_gap : std::uint8_t
{
    none,
    /// The caller did not name the attempt that began the stream.
    attempt_unnamed,
    /// A daemon knows the stream and could not prove its version.
    version_unproved,
    /// The registry cannot be read.
    registry_lost,
    /// The registry was read too short a time ago; its entries may be outdated.
    registry_unsettled,
    /// No reading of the starts of streams has ended that began after the
    /// question.
    starts_unread,
    /// The store has failed, or an item is unreadable, incomplete or of another
    /// era.
    starts_unusable,
    /// No daemon has kept a start of the stream's route.
    no_start,
    /// Streams of the route began at several versions.
    several_versions,
    /// No target of the version serves.
    version_absent,
    /// Another version serves the same pool.
    version_shared,
    /// Another version served the same pool until a short while ago.
    version_left,
};

/// The name in logs.
char const* name_of(origin_gap gap);

/// The version that began a stream, or why it is not known.
struct origin_finding
{
    std::optional<version_digest> version_;
    origin_gap gap_ = origin_gap::none;
    /// Since when the registry can be relied on; negative before. Nothing if it
    /// cannot be read.
    std::optional<base::duration> registry_settled_for_;
    /// Age of the last usable reading of the starts of streams.
    std::optional<base::duration> starts_age_;
    /// Starts that it found, of all daemons and routes.
    std::size_t starts_ = 0;
};

} // namespace tanagerlead::routing
