#pragma once

#include "src/base/error.hpp"
#include "src/config/configuration.hpp"
#include "src/sched/types.hpp"

#include <string_view>

namespace tanagerlead::http
{

/// Reads a target's own report from `/metrics`. Blocking; any thread.
base::result<sched::target_load> read_load(config::target_config const& target);

/// Load in Prometheus text; series of one name are added up. Errors:
/// `corrupt` when a series is missing.
base::result<sched::target_load> parse_load(base::target_id const& target,
                                            std::string_view text);

/// Whether `/health` answers 200 in time. Blocking; any thread.
bool probe_health(base::address const& target);

} // namespace tanagerlead::http
