#pragma once

#include "src/base/units.hpp"
#include "src/routing/peer_ip.hpp"
#include "src/routing/peer_report.hpp"
#include "src/routing/store_follower.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <optional>

namespace tanagerlead::routing
{

/// The last report of each other daemon, and which daemons are alive.
class peer_table
{
public:
    /// A daemon that sends no report for this long counts as silent. Each
    /// daemon reports several times within it, unless it announces a longer
    /// interval.
    static constexpr base::duration silence_timeout =
        std::chrono::milliseconds{600};
    /// The same, in announced intervals.
    static constexpr double silence_intervals = 2.5;
    /// A silent daemon that no other source mentions for this long is
    /// forgotten.
    static constexpr base::duration retention = std::chrono::seconds{8};

    /// Differences from the sender's last report.
    struct report_delta
    {
        /// False for an old or duplicate report, which changes nothing.
        bool is_new_ = false;
        bool is_new_incarnation_ = false;
        std::vector<spent_units> spent_deltas_;
    };

    report_delta on_report(peer_ip from, peer_report const& report,
                           base::time_point now);
    /// Another daemon reports that it hears `daemon`.
    void on_mentioned(peer_ip daemon, base::time_point now);
    /// Adds a seed address from the settings. It may not lead to a daemon, so
    /// it counts as a member only once it reports or is mentioned elsewhere.
    void on_seed(peer_ip daemon, base::time_point now);
    /// Adds all daemons that the store lists.
    void on_listed(std::vector<peer_ip> const& daemons, base::time_point now);
    /// Removes silent daemons from the sums and forgets those not heard or
    /// mentioned for long. Must be called before the sums are read.
    void refresh(base::time_point now);

    int in_flight_elsewhere(id_digest target) const;
    /// Requests that wait in tiers above `tier`.
    int waiting_above(id_digest pool, base::tier tier) const;
    /// Daemons that have requests waiting for the pool.
    int daemons_waiting(id_digest pool) const;
    /// Requests that wait in `tier` and the tiers above it.
    int waiting_up_to(id_digest pool, base::tier tier) const;

    std::vector<peer_ip> known() const;
    std::size_t known_count() const { return peers_.size(); }
    /// The data centre that the daemon last reported; empty if it never
    /// reported.
    std::optional<id_digest> data_centre_of(peer_ip daemon) const;
    std::vector<peer_ip> heard(base::time_point now) const;
    /// Daemons that are heard and ready, in ascending order. Includes all data
    /// centres if none is given.
    std::vector<peer_ip> ready(std::optional<id_digest> data_centre,
                               base::time_point now) const;
    /// Daemons that are ready and reach targets of the pool.
    std::vector<peer_ip> reaching(id_digest pool, base::time_point now) const;
    /// Ready daemons that callers are sent to; none that reaches no target.
    std::vector<peer_ip> serving(std::optional<id_digest> data_centre,
                                 base::time_point now) const;
    /// False for a daemon that stands by; true as long as its role is unknown.
    bool is_working(peer_ip daemon) const;
    /// Number of heard daemons divided by that of known ones, both including
    /// this one. Daemons that stand by do not count: they spend nothing.
    double heard_fraction(base::time_point now) const;
    /// Daemons that have reported and work, also those that are silent now.
    std::vector<peer_ip> working() const;
    /// Place of the daemon `self` among itself and the heard ones.
    follower_position position_of(peer_ip self, base::time_point now) const;
    /// The heard daemon with the highest configuration version above `than`.
    std::optional<peer_ip> peer_with_newer_config(std::uint64_t than,
                                                  base::time_point now) const;

private:
    struct peer
    {
        peer_report last_;
        base::time_point last_heard_ = base::time_point::min();
        base::time_point last_mentioned_ = base::time_point::min();
        bool reported_ = false;
        /// It is known to exist, and is not only a seed.
        bool is_member_ = false;
        /// Its last report is included in the sums.
        bool counted_ = false;

        bool is_heard(base::time_point now) const
        {
            return reported_ && now - last_heard_ < silence_limit();
        }
        base::duration silence_limit() const;
        bool is_working() const
        {
            return !reported_ || last_.role_ != daemon_role::standby;
        }
    };

    int waiting_in_first(id_digest pool, std::size_t tiers) const;
    static std::vector<spent_units> difference(peer_report const& before,
                                               peer_report const& after);
    void count(peer_report const& report, int sign);
    void set_counted(peer& p, bool counted);

    absl::flat_hash_map<peer_ip, peer> peers_;
    absl::flat_hash_map<id_digest, int> in_flight_;
    absl::flat_hash_map<id_digest, std::array<int, base::max_tiers>> waiting_;
    absl::flat_hash_map<id_digest, int> daemons_waiting_;
};

} // namespace tanagerlead::routing
