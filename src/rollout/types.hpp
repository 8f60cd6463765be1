#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <cstdint>
#include <map>
#include <set>

/// Moves the traffic of one pool to another software version. Decides only:
/// times and events come in, permissions and proposed records go out.
namespace tanagerlead::rollout
{

/// Revision of a key in the store; 0: the key is absent.
using revision = std::uint64_t;

/// What the operator asks for. Its revision tells repeated orders apart.
struct order
{
    revision revision_ = 0;
    base::software_version to_;
    base::duration duration_{};

    bool operator==(order const&) const = default;
};

enum class phase : std::uint8_t
{
    /// The new version gets at most the exposure share.
    trial,
    /// The new version was accepted and takes over; old requests finish.
    moving,
    completed,
    rolled_back,
};

constexpr bool is_final(phase p)
{
    return p == phase::completed || p == phase::rolled_back;
}

/// The fleet's shared decision, written only by compare-and-swap.
struct record
{
    /// Revision of the order that this record answers.
    revision order_ = 0;
    base::software_version to_;
    /// Versions that served before; others get nothing until the end.
    std::set<base::software_version> from_;
    phase phase_ = phase::trial;

    bool operator==(record const&) const = default;
};

/// Digest of a route's name; the same at all daemons.
using route_digest = std::uint32_t;

enum class arm : std::uint8_t
{
    before,
    after,
};

struct answer_counts
{
    std::uint64_t answers_ = 0;
    /// Failed, or several times slower than the old version's answers.
    std::uint64_t bad_ = 0;
};

struct route_counts
{
    answer_counts before_;
    answer_counts after_;
};

/// What one daemon tells the others. Counts only rise within one life, so that
/// lost, late and doubled reports do no harm.
struct report
{
    base::incarnation life_{};
    revision order_ = 0;
    /// Time since the order was first seen by any daemon, as known here.
    base::duration elapsed_{};
    revision record_ = 0;
    phase phase_ = phase::trial;
    /// Age of the last read that found this record in the store.
    base::duration confirmed_age_ = base::duration::max();
    /// Requests that run at the old versions.
    std::uint64_t running_before_ = 0;
    std::map<route_digest, route_counts> routes_;
};

} // namespace tanagerlead::rollout
