#pragma once

#include "src/base/clock.hpp"
#include "tools/load/entries.hpp"
#include "tools/load/plan.hpp"
#include "tools/load/result.hpp"

namespace tanagerlead::load
{

/// Sends planned requests as a caller would. Any thread.
class caller
{
public:
    caller(scenario const& from, entry_cache& entries, bool direct);

    /// Blocks until the request has its final answer. `arrival` is when the
    /// plan has it sent.
    request_result run(planned_request const& request,
                       base::time_point arrival);

private:
    class exchange;

    scenario const& scenario_;
    entry_cache& entries_;
    bool direct_;
    base::steady_clock clock_;
    /// Begins the ids of requests that go past the daemons.
    std::string direct_prefix_;
};

} // namespace tanagerlead::load
