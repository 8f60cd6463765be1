#pragma once

/// Public surface of the library.
namespace tanagerlead
{

/// "major.minor.patch".
char const* version();

} // namespace tanagerlead
