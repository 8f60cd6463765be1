#pragma once

#include "src/base/error.hpp"

#include <optional>
#include <string>

namespace tanagerlead::fakes
{

/// Faults that `POST /fake/faults` turns on and off. A member that the body
/// leaves out keeps its value.
struct fault_switches
{
    /// The process ends when it runs a prompt or body with this text; empty is
    /// off.
    std::string crash_marker_;
    /// Multiplies the time of all work.
    double slow_factor_ = 1.0;
    /// Answers this HTTP status without running anything; 0 is off.
    int error_status_ = 0;
    /// Accepts and runs requests but sends no first token.
    bool freeze_first_token_ = false;
    /// Nothing more is written on connections that are open when it is turned
    /// on; later ones work.
    bool silent_ = false;
    /// No new connections are taken.
    bool refuse_connections_ = false;
};

/// Reads the JSON body of `POST /fake/faults` over `present`.
base::result<fault_switches> read_faults(std::string const& body,
                                         fault_switches const& present);

} // namespace tanagerlead::fakes
