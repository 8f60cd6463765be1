#pragma once

#include "src/routing/origin_archive.hpp"
#include "src/routing/stream_starts.hpp"

#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace tanagerlead::routing
{

/// A stream whose version no daemon remembers.
struct forgotten_stream
{
    std::string_view host_;
    std::string_view path_;
    /// Daemons that remember all their streams, and not this one.
    std::set<daemon_incarnation> denied_by_;
};

/// The version that began a stream, or why it cannot be inferred.
struct stream_inference
{
    std::optional<version_digest> version_;
    origin_gap gap_ = origin_gap::none;
};

/// Infers the version from what all daemons, dead ones too, have kept of the
/// starts of their streams. `pools` knows the targets of a settled registry.
stream_inference infer_version(std::vector<stream_start_list> const& kept,
                               forgotten_stream const& stream,
                               origin_archive const& pools,
                               base::time_point now);

} // namespace tanagerlead::routing
