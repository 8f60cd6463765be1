#pragma once

#include "src/base/address.hpp"
#include "tools/load/plan.hpp"
#include "tools/load/result.hpp"

#include <map>
#include <string>
#include <vector>

namespace tanagerlead::load
{

/// What the fakes' logs say, summed over all of them.
struct engine_logs
{
    base::token_count prefilled_tokens_ = 0;
    /// Dispatches by request id.
    std::map<std::string, int> dispatches_;
    /// From arrival at the engine to the first token, by request id.
    std::map<std::string, base::duration> first_tokens_;
    /// Fakes that gave no log.
    int missing_ = 0;
};

engine_logs read_logs(std::vector<base::address> const& controls);

/// Prompt tokens that had to be computed once for the requests that became
/// complete: not those in blocks that an earlier prompt or answer covers.
base::token_count needed_prefill(std::vector<planned_request> const& plan,
                                 std::vector<request_result> const& results,
                                 scenario const& from);

} // namespace tanagerlead::load
