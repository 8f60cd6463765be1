#pragma once

#include "src/request/answer_buffer.hpp"
#include "src/sched/types.hpp"

namespace tanagerlead::http
{

/// End of a request that the scheduler refused.
request::answer_end refused(sched::refusal_cause cause,
                            base::duration retry_after);

} // namespace tanagerlead::http
