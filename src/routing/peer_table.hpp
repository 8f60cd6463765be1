#pragma once

#include "src/base/units.hpp"
#include "src/routing/peer_report.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <optional>

namespace tanagerlead::routing
{

/// IPv4 number of another daemon.
enum class peer_ip : std::uint32_t
{
};

/// What the others last said, and which of them are heard.
class peer_table
{
public:
    /// A daemon that says nothing for this long is not heard; each of them
    /// reports several times in it.
    static constexpr base::duration silence_timeout =
        std::chrono::milliseconds{600};
    /// A silent daemon that nothing else names any more is forgotten.
    static constexpr base::duration retention = std::chrono::seconds{8};

    /// Differences from the sender's last report.
    struct report_delta
    {
        /// A report that is older than a known one changes nothing.
        bool is_new_ = false;
        bool is_new_incarnation_ = false;
        std::vector<spent_units> spent_deltas_;
    };

    report_delta on_report(peer_ip from, peer_report const& report,
                           base::time_point now);
    /// A daemon that another one hears.
    void on_mentioned(peer_ip daemon, base::time_point now);
    /// An address of the settings; it may lead nowhere and counts only once it
    /// is heard or named elsewhere.
    void on_seed(peer_ip daemon, base::time_point now);
    /// All daemons that the store lists.
    void on_listed(std::vector<peer_ip> const& daemons, base::time_point now);
    /// Leaves out the daemons that have fallen silent and forgets those not
    /// heard or named for long. To be called before the sums are read.
    void refresh(base::time_point now);

    int in_flight_elsewhere(id_digest target) const;
    /// Waiting requests of the tiers before `tier`.
    int waiting_above(id_digest pool, base::tier tier) const;
    /// Daemons that have requests waiting for the pool.
    int daemons_waiting(id_digest pool) const;
    /// Waiting requests of the tiers up to `tier`.
    int waiting_up_to(id_digest pool, base::tier tier) const;

    std::vector<peer_ip> known() const;
    /// As the daemon last reported; empty when it never did.
    std::optional<id_digest> data_centre_of(peer_ip daemon) const;
    std::vector<peer_ip> heard(base::time_point now) const;
    /// Heard and ready; of all data centres when none is given.
    std::vector<peer_ip> ready(std::optional<id_digest> data_centre,
                               base::time_point now) const;
    /// Heard daemons and this one, over all known ones and this one.
    double heard_fraction(base::time_point now) const;
    /// Highest version that a heard daemon has, and that daemon.
    std::optional<peer_ip> peer_with_newer_config(std::uint64_t than,
                                                  base::time_point now) const;

private:
    struct peer
    {
        peer_report last_;
        base::time_point last_heard_ = base::time_point::min();
        base::time_point last_mentioned_ = base::time_point::min();
        bool reported_ = false;
        /// Known to exist, not only a seed.
        bool is_member_ = false;
        /// Its last report is part of the sums.
        bool counted_ = false;

        bool is_heard(base::time_point now) const
        {
            return reported_ && now - last_heard_ < silence_timeout;
        }
    };

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
