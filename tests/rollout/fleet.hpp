#pragma once

#include "src/base/random.hpp"
#include "src/rollout/rollout.hpp"

#include <deque>
#include <memory>
#include <vector>

namespace tanagerlead::rollout::testing
{

using namespace std::chrono_literals;

inline base::time_point at(base::duration since_start)
{
    return base::time_point{1h} + since_start;
}

/// How the new version's answers are wrong.
struct fault
{
    double failures_ = 0;
    double slow_ = 0;
    base::duration from_{};
    /// Wrong only in the second half of each period; 0: always.
    base::duration load_period_{};
    /// Only on route 1, which has a fifth of the requests.
    bool one_route_ = false;

    bool bad() const { return failures_ + slow_ > 0; }
};

/// What happens to the daemons meanwhile.
struct trouble
{
    double lost_reports_ = 0.1;
    double doubled_reports_ = 0.1;
    base::duration max_delay_ = 400ms;
    /// Daemons killed and started again at random times.
    int kills_ = 0;
    /// Daemons that reach neither store nor peers for 10 s.
    int cuts_ = 0;
    /// Daemons paused for 4 s.
    int pauses_ = 0;
};

struct outcome
{
    phase phase_ = phase::trial;
    bool recorded_ = false;
    std::uint64_t requests_ = 0;
    std::uint64_t exposed_ = 0;
    /// Sends to the new version later than RollbackMs after its 50th bad
    /// answer.
    std::uint64_t late_sends_ = 0;
    /// Sends to the new version after the record said rolled back and permits
    /// had run out.
    std::uint64_t after_end_ = 0;
};

struct scenario
{
    std::size_t daemons_ = 7;
    double requests_per_second_ = 200;
    base::duration duration_ = 60s;
    fault fault_{};
    trouble trouble_{};
    std::uint64_t seed_ = 1;
};

/// Plays one order in virtual time over a store that swaps by revision.
outcome play(scenario const& s);

} // namespace tanagerlead::rollout::testing
