#pragma once

#include "src/base/error.hpp"
#include "src/membership/member.hpp"

#include <array>
#include <string>
#include <vector>

namespace tanagerlead::membership
{

enum class swim_kind : std::uint8_t
{
    /// Asks for an `ack`.
    ping,
    ack,
    /// Asks the receiver to ping `subject_` and pass the ack on.
    ping_request,
    /// First message of a new life; answered with the whole list.
    join,
    /// Part of the list, unasked.
    state,
};

constexpr std::size_t digest_buckets = 64;
using list_digest = std::array<std::uint16_t, digest_buckets>;

/// Which group a daemon belongs to.
std::size_t digest_bucket(base::daemon_id const& daemon);
/// Adds one member to the digest of its group; the order does not matter.
void add_to_digest(list_digest& digest, member const& m);

/// One datagram of the membership protocol (SWIM, Das, Gupta and Motivala,
/// DSN 2002).
struct swim_message
{
    /// Most members in one message, so that it fits a datagram.
    static constexpr std::size_t most_updates = 8;

    swim_kind kind_{};
    /// Pairs an ack with its ping.
    std::uint64_t sequence_ = 0;
    /// The sender as it sees itself.
    member sender_;
    /// Of `ping_request`: whom to ping.
    base::address subject_;
    /// Over the members that the sender knows and does not take for dead,
    /// grouped by `digest_bucket`; equal groups have equal digests.
    list_digest digest_{};
    std::vector<member> updates_;
};

std::string encode(swim_message const& message);
/// Never throws; `corrupt` for anything but one whole message.
base::result<swim_message> decode_swim_message(std::string const& bytes);

} // namespace tanagerlead::membership
