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

/// One owner of one cell.
struct tier_peer
{
    base::cell_id cell_;
    /// Random for each life of the owner.
    std::uint64_t origin_ = 0;

    bool operator==(tier_peer const&) const = default;
};

/// The latest notice of another owner that the sender has got.
struct tier_notice_echo
{
    tier_peer owner_;
    std::uint64_t sequence_ = 0;
};

/// One owner's word to the other owners of cells of its pool.
struct tier_notice
{
    base::pool_id pool_;
    tier_peer owner_;
    std::uint64_t sequence_ = 0;
    /// The highest tier the sender sheds or is about to; none without pressure.
    std::optional<base::tier> pressure_;
    std::vector<tier_notice_echo> echoes_;
};

/// Agrees between the owners of one pool's cells that no higher tier is shed in
/// one while a lower one is served in another.
///
/// An owner serves tiers below another's pressure, or any but the first while
/// it has no fresh notice of every other owner, only as long as a permission
/// lasts: `permission_duration` from when it sent the notice that the other's
/// notice echoes. As an echo is younger than what it echoes, a notice without
/// pressure permits nothing for longer than `permission_duration` after it was
/// made, however late it arrives. An owner sheds a tier only after it has
/// announced the pressure for longer than that.
///
/// Bound: the owners that are asked are those that the membership names. One
/// that the others hold for dead, though it lives, hears none of them: it sheds
/// only the lowest tier and serves only the first.
class tier_permission
{
public:
    static constexpr base::duration permission_duration =
        std::chrono::seconds{1};
    static constexpr base::duration notice_interval =
        std::chrono::milliseconds{200};
    /// Allowance for clocks that run at unlike rates.
    static constexpr base::duration clock_rate_margin =
        std::chrono::milliseconds{50};

    tier_permission(base::pool_id pool, tier_peer self);

    /// The live owners of the pool's cells; this one itself is skipped.
    void set_peers(std::vector<tier_peer> const& owners, base::time_point now);
    /// The tier this cell would shed from, if any; none takes it back.
    void set_pressure(std::optional<base::tier> pressure, base::time_point now);
    void receive(tier_notice const& notice, base::time_point now);

    /// The notice to send to all others, when one is due.
    std::optional<tier_notice> next_notice(base::time_point now);
    /// When `next_notice` has one.
    base::time_point next_due() const { return next_notice_at_; }

    /// The lowest tier that may be served at `now`.
    base::tier lowest_served(base::time_point now) const;
    /// Whether the tier, with lower ones in use, may be shed at `now`.
    bool may_shed(base::tier t, base::time_point now) const;

private:
    struct peer_state
    {
        std::uint64_t sequence_ = 0;
        std::optional<base::tier> pressure_;
        /// When our notice that it echoed was sent.
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
    /// Since when a pressure at this tier or a higher one is announced without
    /// a break.
    std::array<std::optional<base::time_point>, base::max_tiers>
        announced_since_{};
    std::map<tier_peer, peer_state, peer_less> peers_;
    std::vector<sent_notice> sent_;
    base::time_point next_notice_at_{};
};

} // namespace tanagerlead::sched
