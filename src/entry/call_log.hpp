#pragma once

#include "src/entry/call.hpp"

namespace tanagerlead::entry
{

/// Makes the log line of a finished call. `first` is the time from the receipt
/// of the request to the first byte of its answer.
log_line call_end_line(call const& finished, call_outcome outcome,
                       std::string const& cause, base::duration first,
                       base::time_point now);

} // namespace tanagerlead::entry
