#pragma once

#include "src/base/units.hpp"
#include "src/routing/limit_statement.hpp"
#include "src/routing/peer_table.hpp"
#include "src/routing/target_info.hpp"

#include <map>
#include <optional>
#include <vector>

namespace tanagerlead::routing
{

/// A target's limit and this daemon's share of it.
class target_limit
{
public:
    /// What the target takes from all daemons together.
    request_rate rate() const { return rate_; }
    /// Requests that this daemon may send to the target now.
    int available(base::time_point now) const;
    /// Time until this daemon may send the next request; nothing if it has no
    /// share of the limit.
    std::optional<base::duration> wait(base::time_point now) const;
    /// This daemon's part of a limit that counts slots.
    int slots() const { return static_cast<int>(share_.per_second_); }

private:
    friend class target_limits;

    double level_at(base::time_point now) const;
    void set_share(request_rate rate, request_rate share, base::time_point now);

    request_rate rate_;
    request_rate share_;
    double level_ = 0;
    base::time_point refilled_at_{};
};

/// Keeps the daemons together within the limits that targets name in their
/// answers. A limit is divided among as many daemons as it has requests a
/// second, which are chosen by rendezvous hashing, so that each of them may
/// send one at least every second. The bound holds without messages as long as
/// the daemons agree on who belongs to the fleet; a daemon that falls silent
/// therefore keeps its share until it is forgotten.
///
/// Daemons tell each other what targets said. The statement of the later
/// request counts, also if it arrives first.
class target_limits
{
public:
    /// A limit counts as at least this, so that its target can still say when
    /// it takes more.
    static constexpr request_rate min_rate{0.1};
    static constexpr request_rate max_rate{1e6};
    /// Time for which a share may be saved up beyond one request.
    static constexpr base::duration burst_time = std::chrono::milliseconds{100};
    /// Two reports of one statement may differ by this in its time. Reports are
    /// late, so a statement that goes back and forth would never age otherwise.
    static constexpr base::duration report_tolerance = std::chrono::seconds{1};
    /// How long a statement is repeated in reports to other daemons.
    static constexpr base::duration report_time = std::chrono::seconds{3};
    /// How long the limit of a target is kept that says nothing any more.
    static constexpr base::duration retention = std::chrono::minutes{10};

    explicit target_limits(peer_ip self) : self_{self} {}

    /// The daemons that share the limits, this one included if it does. Empty
    /// as long as the fleet is not known; then this daemon has no share.
    void set_fleet(std::vector<peer_ip> daemons, base::time_point now);
    /// The target answered a request that was sent at `sent`; without `limit`
    /// it named none. True if that changes its limit.
    bool on_answer(incarnation_digest target, std::optional<request_rate> limit,
                   base::time_point sent, base::time_point now);
    /// The same, from the report of another daemon.
    bool on_reported(limit_statement const& reported, base::time_point now);

    /// A target that has said nothing is taken to have a limit since `stated`.
    void assume(incarnation_digest target, request_rate limit,
                base::time_point stated);

    /// Null for a target without a limit. Valid until the next statement.
    target_limit const* find(incarnation_digest target) const;
    bool empty() const { return statements_.empty(); }
    /// A daemon that has a share of each limit of the target; nothing if the
    /// fleet is not known.
    std::optional<peer_ip> first_sharer(incarnation_digest target) const;
    /// Daemons that have a share of a limit.
    double sharers(request_rate rate) const;
    /// A request is sent to the target.
    void on_sent(incarnation_digest target, base::time_point now);
    /// A request that was to be sent did not reach the target.
    void on_not_sent(incarnation_digest target, base::time_point now);

    /// Recent statements, at most `most`, from the `first` one on in a fixed
    /// order. Consecutive reports take turns.
    std::vector<limit_statement>
    reported(base::time_point now, std::size_t first, std::size_t most) const;
    /// Limits in force.
    std::size_t count() const;

private:
    struct statement
    {
        /// Not set if the target named no limit any more.
        std::optional<target_limit> limit_;
        base::time_point stated_at_;

        bool says(std::optional<request_rate> limit) const
        {
            return limit_ ? limit == limit_->rate() : !limit;
        }
    };

    bool state(incarnation_digest target, std::optional<request_rate> limit,
               base::time_point stated, base::time_point now);
    request_rate share_of(incarnation_digest target, request_rate rate) const;
    void expire(base::time_point now);

    peer_ip self_;
    std::vector<peer_ip> daemons_;
    std::map<incarnation_digest, statement> statements_;
};

} // namespace tanagerlead::routing
