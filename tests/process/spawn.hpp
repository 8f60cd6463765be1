#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace tanagerlead::process
{

/// Starts a program whose output goes to the descriptor `out`, and its errors
/// to `errors` unless that is negative. Negative when it could not.
pid_t spawn(std::string const& program,
            std::vector<std::string> const& arguments, int out, int errors);

/// A status of `waitpid`: the exit status, or minus the signal that ended it.
int end_of(int status);

} // namespace tanagerlead::process
