#pragma once

#include "src/base/address.hpp"

#include <string>

namespace tanagerlead::fakes
{

/// Prints the ready line of a fake; `control` may be empty.
void print_ready(base::address const& http, base::address const& control);

/// Blocks SIGTERM and SIGINT; called before any thread starts.
void block_stop_signals();
/// Waits for SIGTERM or SIGINT.
void wait_for_stop_signal();

/// The address in `--listen`, or the end of the process with an error.
base::address listen_address_or_exit(std::string const& text);

} // namespace tanagerlead::fakes
