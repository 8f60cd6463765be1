#pragma once

#include "src/sched/cell_scheduler.hpp"
#include "src/sched/shed_gate.hpp"
#include "src/sched/waiting_queue.hpp"

#include <array>
#include <optional>

namespace tanagerlead::sched
{

/// Decides which requests to refuse. Refuses a request at once when it would
/// wait longer than its tier allows or end after its deadline. Sheds the lowest
/// tier first, and in it the workspaces furthest above their shares.
class admission
{
public:
    admission();

    void configure(cell_settings const& settings);
    void permit_shed_from(base::tier highest) { highest_shed_ = highest; }

    base::duration longest_wait(base::tier t) const;
    /// Seconds that a new request would wait. `service_rate` is in cost per
    /// second; the result is zero when the rate is not known.
    static double predicted_wait(waiting_queue const& queue,
                                 base::workspace_id const& workspace,
                                 base::tier t, double service_rate);

    /// Why to refuse the request now; none when it may wait.
    std::optional<refusal_cause> refusal_for(waiting_request const& request,
                                             waiting_queue const& queue,
                                             double service_rate,
                                             base::time_point now) const;
    /// Waiting requests to refuse as overloaded now, all of one tier.
    std::vector<waiting_request*> requests_to_shed(waiting_queue const& queue,
                                                   double service_rate,
                                                   base::time_point now) const;
    /// The highest tier whose predicted wait exceeds the fraction of its
    /// longest wait up to which requests are admitted.
    std::optional<base::tier> pressure(waiting_queue const& queue,
                                       double service_rate) const;
    /// Whether requests of a tier may be refused as overloaded.
    bool may_shed(base::tier t, base::time_point now) const;

    shed_gate& gate() { return gate_; }
    shed_gate const& gate() const { return gate_; }

private:
    double excess_wait_seconds(waiting_queue const& queue, base::tier t,
                               double service_rate) const;

    std::array<base::duration, base::max_tiers> longest_wait_{};
    base::tier lowest_configured_{base::max_tiers - 1};
    base::tier highest_shed_{0};
    shed_gate gate_;
};

} // namespace tanagerlead::sched
