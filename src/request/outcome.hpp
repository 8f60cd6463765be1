#pragma once

#include <cstdint>

namespace tanagerlead::request
{

/// What a final answer says of its request.
enum class outcome : std::uint8_t
{
    /// The whole answer was delivered.
    complete,
    /// Proved: no byte of it reached a target.
    not_run,
    /// It may have run, in part or whole.
    unknown,
};

char const* to_string(outcome value);

} // namespace tanagerlead::request
