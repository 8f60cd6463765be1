#pragma once

#include "tools/load/caller.hpp"
#include "tools/load/plan.hpp"
#include "tools/load/result.hpp"

#include <vector>

namespace tanagerlead::load
{

/// Runs the plan open loop: arrivals do not wait for answers, while a caller
/// thread is free. Results in order of arrival.
std::vector<request_result> run_plan(std::vector<planned_request> const& plan,
                                     caller& sender, std::size_t threads);

} // namespace tanagerlead::load
