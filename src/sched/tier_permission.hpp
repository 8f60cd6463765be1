#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tanagerlead::sched
{

/// An owner of a cell.
struct tier_peer
{
    base::cell_id cell_;
    /// Random number drawn each time the owner starts.
    std::uint64_t origin_ = 0;

    bool operator==(tier_peer const&) const = default;
};

/// The latest notice that the sender has received from another owner.
struct tier_notice_echo
{
    tier_peer owner_;
    std::uint64_t sequence_ = 0;
};

/// A message from one owner to the other owners of cells of its pool.
struct tier_notice
{
    base::pool_id pool_;
    tier_peer owner_;
    std::uint64_t sequence_ = 0;
    /// The highest tier that the sender sheds or is about to shed; none if the
    /// sender has no overload.
    std::optional<base::tier> pressure_;
    std::vector<tier_notice_echo> echoes_;
};

/// Coordinates the owners of a pool's cells so that no cell sheds a tier while
/// another cell serves a lower one.
///
/// An owner serves a tier other than the highest one only while it has a
/// permission for it from every other owner. A notice from another owner
/// permits the tiers down to that owner's pressure, or all tiers if it has
/// none. The permission lasts for `permission_duration` from the time at which
/// this owner sent the notice that the other's notice echoes. An echo is always
/// later than the notice it echoes, so a notice without pressure permits
/// nothing for longer than `permission_duration` after it was made, however
/// late it arrives. An owner sheds a tier only after it has announced the
/// pressure for longer than `permission_duration`.
///
/// Limitation: the peers are the owners in the membership list. An owner that
/// is alive but that the others consider dead receives none of their notices:
/// it sheds only the lowest tier and serves only the highest.
class tier_permission
{
public:
    static constexpr base::duration permission_duration =
        std::chrono::seconds{1};
    static constexpr base::duration notice_interval =
        std::chrono::milliseconds{200};
    /// Tolerance for clocks that run at different rates.
    static constexpr base::duration clock_rate_margin =
        std::chrono::milliseconds{50};

    tier_permission(base::pool_id pool, tier_peer self);

    /// Sets the live owners of the pool's cells. This owner itself is skipped.
    void set_peers(std::vector<tier_peer> const& owners, base::time_point now);
    /// Sets the highest tier that this cell would shed; none withdraws the
    /// pressure.
    void set_pressure(std::optional<base::tier> pressure, base::time_point now);
    void receive(tier_notice const& notice, base::time_point now);

    /// Returns the notice to send to all peers, if one is due.
    std::optional<tier_notice> next_notice(base::time_point now);
    /// The time at which the next notice is due.
    base::time_point next_due() const { return next_notice_at_; }

    /// The lowest tier that may be served at `now`.
    base::tier lowest_served(base::time_point now) const;
    /// Whether the tier may be shed at `now` although lower tiers are in use.
    bool may_shed(base::tier t, base::time_point now) const;

private:
    struct peer_state
    {
        std::uint64_t sequence_ = 0;
        std::optional<base::tier> pressure_;
        /// Time at which this owner sent the notice that the peer last echoed.
        std::optional<base::time_point> echoed_;
    };
    struct peer_less
    {
        bool operator()(tier_peer const& a, tier_peer const& b) const;
    };
    struct sent_notice
    {
        std::uint64_t sequence_ = 0;
        base::time_point at_;
    };

    static bool is_fresh(peer_state const& p, base::time_point now);
    void record_echo(peer_state& p, tier_notice const& notice) const;

    base::pool_id pool_;
    tier_peer self_;
    std::uint64_t sequence_ = 0;
    std::optional<base::tier> pressure_;
    /// By tier: start of the current uninterrupted announcement of pressure at
    /// this tier or a higher one.
    std::array<std::optional<base::time_point>, base::max_tiers>
        announced_since_{};
    std::map<tier_peer, peer_state, peer_less> peers_;
    std::vector<sent_notice> sent_;
    base::time_point next_notice_at_{};
};

} // namespace tanagerlead::sched
