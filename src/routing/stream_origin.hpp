#pragma once

#include "src/base/ids.hpp"
#include "src/base/serialization.hpp"
#include "src/base/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlead::routing
{

/// Hash of the id that a caller gave to one of its attempts.
enum class attempt_digest : std::uint64_t
{
};

attempt_digest digest_of_attempt(std::string const& request_id);

/// Hash of a pool and the software version of some of its targets.
enum class version_digest : std::uint32_t
{
};

/// No stream goes on at a target of an unknown version.
constexpr version_digest unknown_version{};

/// `unknown_version` if `version` is empty.
version_digest digest_of(base::pool_id const& pool,
                         base::software_version const& version);

/// One start of a daemon.
enum class daemon_incarnation : std::uint64_t
{
};

/// A daemon of a build that does not name its start.
constexpr daemon_incarnation unknown_incarnation{};

/// What is known about the version of the process behind a connection.
struct version_finding
{
    version_digest version_ = unknown_version;
    /// If set, the version is only assumed until it can be confirmed then; max
    /// while nobody knows when.
    std::optional<base::time_point> known_from_;
};

/// The version that began the stream of a caller's attempt.
struct stream_origin
{
    attempt_digest attempt_{};
    version_digest version_{};

    bool operator==(stream_origin const&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(attempt_, version_);
    }
};

/// What daemons tell and ask each other about streams; fits into one datagram.
struct stream_message
{
    static constexpr std::size_t max_items = 50;

    std::vector<stream_origin> origins_;
    /// Attempts whose origin the sender wants to know.
    std::vector<attempt_digest> questions_;
    /// Attempts whose streams `denier_` has neither begun nor taken up.
    std::vector<attempt_digest> denied_{};
    daemon_incarnation denier_ = unknown_incarnation;

    bool empty() const
    {
        return origins_.empty() && questions_.empty() && denied_.empty();
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        base::serialize_start_of_list(archive, origins_, max_items);
        base::serialize_start_of_list(archive, questions_, max_items);
    }

    /// Follows the rest of the message. Older builds neither write nor read it.
    template <class Archive>
    void serialize_denials(Archive& archive)
    {
        archive(denier_);
        base::serialize_start_of_list(archive, denied_, max_items);
    }
};

} // namespace tanagerlead::routing
