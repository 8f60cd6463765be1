#pragma once

#include <cstdint>

namespace tanagerlead::entry
{

/// How a request ended, for logs and metrics.
enum class call_outcome : std::uint8_t
{
    complete,
    /// The target's own error.
    target_error,
    /// It was not run.
    refused,
    /// It may have run, and its answer was lost or late.
    failed,
    /// Its answer began and was cut off.
    cut,
    caller_left,
};

char const* to_string(call_outcome outcome);

} // namespace tanagerlead::entry
