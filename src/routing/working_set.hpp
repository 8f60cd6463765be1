#pragma once

#include "src/base/units.hpp"
#include "src/routing/peer_table.hpp"

#include <vector>

namespace tanagerlead::routing
{

/// Decides whether this daemon serves callers. What a daemon sends and reads
/// would otherwise grow with the number of daemons, and what it learns about
/// the targets would shrink. In a large fleet the callers are therefore sent to
/// a part of the daemons, the working set, and the others stand by: they know
/// the configuration and the targets, and serve every request that reaches
/// them.
///
/// Each daemon decides for itself, from a ranking of the daemons of its data
/// centre that is the same for all. Where it hears too few of the others, it
/// serves.
class working_set
{
public:
    /// In a fleet of up to this size, all daemons serve.
    static constexpr std::size_t max_small_fleet = 100;
    /// Size of the working set of a larger fleet.
    static constexpr std::size_t max_serving = 50;
    /// Fewer would not survive the loss of some.
    static constexpr std::size_t min_serving_per_data_centre = 6;
    /// A daemon that no longer belongs to the working set stands by only after
    /// this time without a request, since some callers keep using it.
    static constexpr base::duration busy_linger = std::chrono::seconds{6};
    /// The same, if it has had no request: daemons disagree for a moment about
    /// who is heard.
    static constexpr base::duration idle_linger = std::chrono::seconds{1};
    /// The longest time that some daemons wait beyond it, so that not all of
    /// them report their new role at once.
    static constexpr base::duration linger_spread = std::chrono::seconds{1};

    explicit working_set(peer_ip self) : self_{self} {}

    /// What this daemon knows about the others.
    struct fleet_view
    {
        /// Other daemons of this data centre that are heard and ready.
        std::vector<peer_ip> ready_here_;
        /// How many of them serve.
        std::size_t serving_here_ = 0;
        /// All other daemons known, here and in the fleet.
        std::size_t known_here_ = 0;
        std::size_t known_ = 0;
    };

    /// A caller sent a request to this daemon.
    void on_request(base::time_point now) { last_request_ = now; }

    daemon_role decide(fleet_view const& fleet, base::time_point now);

private:
    bool is_chosen(fleet_view const& fleet) const;

    peer_ip self_;
    base::time_point last_request_ = base::time_point::min();
    base::time_point last_chosen_ = base::time_point::min();
};

/// What a daemon of the data centre `here` knows about the others.
working_set::fleet_view view_of(peer_table const& peers, id_digest here,
                                base::time_point now);

/// Size of the working set of a data centre with `here` of the `all` daemons.
std::size_t serving_count(std::size_t here, std::size_t all);

} // namespace tanagerlead::routing
