#pragma once

/// Header fields of requests that one daemon passes to another; see
/// docs/INTERFACES.md.
namespace tanagerlead::entry::relay_fields
{

/// Targets that the recipient may still send the request to.
inline constexpr char const* attempts = "Relay-Attempts";
/// The pool whose targets the sender does not reach.
inline constexpr char const* pool = "Relay-Pool";
/// Version of the configuration that the sender decided by.
inline constexpr char const* configuration = "Relay-Configuration";
/// In an answer of the recipient itself; the answer of a target has none.
inline constexpr char const* result = "Relay-Result";

/// The recipient has sent nothing to a target, and another daemon may do so.
inline constexpr char const* result_unreachable = "unreachable";
/// The request has not run, and the caller is to come back later.
inline constexpr char const* result_refused = "refused";
/// The request may have run.
inline constexpr char const* result_failed = "failed";

} // namespace tanagerlead::entry::relay_fields
