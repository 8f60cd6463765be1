#pragma once

#include "src/base/units.hpp"

namespace tanagerlead::routing
{

/// Running mean and mean deviation of a latency, as in the retransmission
/// timeout of TCP (RFC 6298).
class latency_estimate
{
public:
    void observe(base::duration value);
    /// The mean plus `deviations` mean deviations, or `fallback` until there
    /// are enough samples.
    base::duration limit(double deviations, base::duration fallback) const;

private:
    double mean_ = 0;
    double deviation_ = 0;
    int count_ = 0;
};

/// Latencies of one pool.
struct pool_latency
{
    /// From sending a request to its first event or whole answer, less the time
    /// to read the prompt.
    latency_estimate first_;
    /// Between events of a stream.
    latency_estimate gap_;
};

/// Longest time that an engine takes to read a prompt.
base::duration max_prefill_time(base::token_count tokens);

} // namespace tanagerlead::routing
