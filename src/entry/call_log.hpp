#pragma once

#include "src/entry/call.hpp"

namespace tanagerlead::entry
{

/// The log line of a call that is over. `first`: from its arrival to the first
/// byte of its answer.
log_line call_end_line(call const& finished, call_outcome outcome,
                       std::string const& cause, base::duration first,
                       base::time_point now);

} // namespace tanagerlead::entry
