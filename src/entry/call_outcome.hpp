#pragma once

#include <cstdint>

namespace tanagerlead::entry
{

/// Result of a request, for logs and metrics.
enum class call_outcome : std::uint8_t
{
    complete,
    /// The target answered with a server error.
    target_error,
    /// The request was not executed.
    refused,
    /// The request may have been executed, but its answer was lost or late.
    failed,
    /// The answer was truncated after its first bytes were sent.
    cut,
    caller_left,
};

char const* to_string(call_outcome outcome);

} // namespace tanagerlead::entry
