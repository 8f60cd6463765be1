#pragma once

#include "src/routing/id_digest.hpp"
#include "src/routing/peer_ip.hpp"
#include "src/routing/peer_report.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

namespace tanagerlead::routing
{

/// Targets that take no connections, as the daemons of a fleet tell each other.
/// A target is out when `min_witnesses` daemons (one in a fleet of one or two)
/// failed to connect to it within `witness_window` and none has connected to it
/// since. A target that is out gets no requests, only connects without a
/// request by one daemon at a time. A verdict ends with the first connect that
/// succeeds anywhere, and at the latest `evidence_time` after the last that
/// failed. See docs/design/target-outages.md.
class target_outages
{
public:
    static constexpr std::size_t min_witnesses = 2;
    /// Exceeds `probe_interval`, so that a daemon that starts during an outage
    /// adds its own failure to that of a probe.
    static constexpr base::duration witness_window =
        std::chrono::milliseconds{1500};
    /// Leaves room for the loss of the reports of three probes.
    static constexpr base::duration evidence_time = std::chrono::seconds{4};
    /// How long a daemon repeats in its reports what it saw.
    static constexpr base::duration report_time = std::chrono::seconds{1};
    /// From a verdict to the first probe, and from each probe to the next.
    static constexpr base::duration first_probe_delay =
        std::chrono::milliseconds{500};
    static constexpr base::duration probe_interval = std::chrono::seconds{1};

    explicit target_outages(peer_ip self) : self_{self} {}

    void set_targets(std::vector<target_info> const& targets);
    /// All daemons that work, with this one.
    void set_fleet(std::vector<peer_ip> const& daemons) { fleet_ = daemons; }

    /// This daemon tried to connect to the target. True if the others should
    /// learn of it soon.
    bool on_connect(incarnation_digest target, bool connected,
                    base::time_point now);
    /// Reads what another daemon saw. One that reaches no target of a pool is
    /// no witness against the targets of that pool.
    void on_report(peer_ip from, peer_report const& report,
                   base::time_point now);
    /// Drops what the daemon said against the targets of the pool, or of all
    /// pools.
    void withdraw(peer_ip daemon, std::optional<id_digest> pool,
                  base::time_point now);
    /// Drops what this daemon itself saw, when it no longer reaches the pool.
    void withdraw_own(id_digest pool, base::time_point now)
    {
        withdraw(self_, pool, now);
    }
    /// Ends verdicts without fresh evidence. True if a target went out or came
    /// back since the last call.
    bool advance(base::time_point now);

    bool is_out(incarnation_digest target) const;
    std::size_t out_count() const;
    /// Nothing is known against any target.
    bool empty() const { return records_.empty(); }
    /// Targets that this daemon should connect to now.
    std::vector<incarnation_digest> due_probes(base::time_point now);
    /// Adds what this daemon saw within `report_time`, from the `first`
    /// observation on if a report cannot hold all of them.
    void add_to(peer_report& report, base::time_point now,
                std::size_t first) const;

private:
    struct failed_connect
    {
        peer_ip daemon_{};
        base::time_point at_;
    };

    struct record
    {
        /// The last failure of each daemon.
        std::vector<failed_connect> failures_;
        /// The last connect that succeeded, of any daemon and of this one.
        base::time_point reached_ = base::time_point::min();
        base::time_point own_reached_ = base::time_point::min();
        bool is_out_ = false;
        std::uint64_t probes_ = 0;
        base::time_point next_probe_ = base::time_point::max();
    };

    void add_failure(incarnation_digest target, failed_connect const& failure,
                     base::time_point now);
    void add_reached(incarnation_digest target, base::time_point at,
                     base::time_point now);
    void decide(record& r, base::time_point now);
    bool is_prober(incarnation_digest target, std::uint64_t probe) const;

    peer_ip self_;
    std::vector<peer_ip> fleet_;
    absl::flat_hash_map<incarnation_digest, id_digest> pools_;
    absl::flat_hash_map<incarnation_digest, record> records_;
    bool changed_ = false;
};

} // namespace tanagerlead::routing
