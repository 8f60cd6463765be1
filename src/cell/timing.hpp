#pragma once

#include "src/base/units.hpp"

/// Times that both ends of the scheduling protocol rely on.
namespace tanagerlead::cell::timing
{

using namespace std::chrono_literals;

/// First wait before an unanswered message is sent again; doubles each time.
constexpr base::duration first_resend = 50ms;
constexpr base::duration longest_resend = 400ms;

/// Between signs of life to an entry that has requests waiting.
constexpr base::duration heartbeat_interval = 200ms;
/// An entry that hears nothing for so long works from its standing share.
constexpr base::duration owner_silence = 600ms;
/// How long an entry may serve lower tiers after its owner's last heartbeat.
constexpr base::duration permission_lifetime = 1500ms;
/// Waiting for longer than this in a cell is a sign of overload.
constexpr base::duration overload_wait = 250ms;

/// A new owner grants nothing for so long: the entries tell it what runs.
constexpr base::duration settling_time = 100ms;
/// An entry may use a grant within this time of its first sending.
constexpr base::duration grant_lifetime = 1s;
/// An entry that leaves a decision unanswered for so long, and says nothing
/// else, is passed over until it is heard of again.
constexpr base::duration entry_silence = 300ms;
/// Before an entry asks again after declining a grant it cannot use.
constexpr base::duration pause_after_decline = 100ms;

/// A request not heard of for so long is asked about.
constexpr base::duration query_interval = 5s;
/// How long requests that ended are remembered.
constexpr base::duration remember_ended = 30s;
/// What a dead entry had in flight is counted for so long.
constexpr base::duration orphan_lifetime = 20s;

/// Without a majority and the store for so long, new work is refused.
constexpr base::duration isolation_delay = 5s;
/// How long a member that vanished counts towards the majority.
constexpr base::duration remember_members = 10min;

} // namespace tanagerlead::cell::timing
