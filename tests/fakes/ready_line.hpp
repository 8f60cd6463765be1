#pragma once

#include "src/base/address.hpp"

#include <string>

namespace tanagerlead::fakes
{

/// Prints the ready line (docs/INTERFACES.md) with the address of the control
/// port beside it.
void print_ready(base::address const& http, base::address const& control);

/// Blocks SIGTERM and SIGINT for every thread started later. Called first.
void block_stop_signals();
/// Returns on SIGTERM or SIGINT.
void wait_for_stop_signal();

} // namespace tanagerlead::fakes
