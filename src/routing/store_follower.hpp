#pragma once

#include "src/base/random.hpp"
#include "src/base/units.hpp"
#include "src/routing/store_revision.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace tanagerlead::routing
{

/// Identifies a call of a store_follower.
enum class store_call_id : std::uint64_t
{
};

/// A call that a store_follower wants to make.
struct store_call
{
    enum class kind : std::uint8_t
    {
        list,
        watch,
    };

    store_call_id id_{};
    kind kind_ = kind::list;
    /// For a watch: the revision after which changes are wanted.
    store_revision after_{};
    /// For a watch: how long the store may wait for a change.
    base::duration wait_{};
};

/// Place of a daemon among those that follow the same store and hear each
/// other.
struct follower_position
{
    std::size_t index_ = 0;
    std::size_t count_ = 1;

    bool operator==(follower_position const&) const = default;
};

/// Decides when to list and to watch one prefix of the store, without I/O.
///
/// A watch may stay without an answer although its connection looks alive, and
/// a listing may hang into the return of the store. So no decision depends on a
/// single call: a watch has a time limit, attempts to reach the store overlap,
/// and the daemons tell each other the revision of the newest change. The
/// watches of the daemons end in turn, so that one of them notices a silent
/// store soon, without more calls of each.
class store_follower
{
public:
    /// Longest time that a watch waits.
    static constexpr base::duration max_watch_time = std::chrono::seconds{10};
    /// Longest time between two watches that end in a fleet of up to eight
    /// daemons; a larger one has shorter times.
    static constexpr base::duration max_turn = std::chrono::milliseconds{1200};
    /// A watch counts as dead this long after the end of its wait.
    static constexpr base::duration watch_margin =
        std::chrono::milliseconds{500};
    /// Time for the own watch to return a change that another daemon has.
    static constexpr base::duration change_margin =
        std::chrono::milliseconds{150};
    /// Pauses between two attempts to reach the store, longer after each
    /// failure, with a random part of 30%. The next attempt does not wait for
    /// the answer to the one before.
    static constexpr base::duration initial_backoff =
        std::chrono::milliseconds{200};
    static constexpr base::duration max_backoff =
        std::chrono::milliseconds{450};
    /// Spreads the calls of all daemons after the store was restored.
    static constexpr base::duration max_restart_delay =
        std::chrono::milliseconds{300};

    /// An answer that is arriving counts as stalled after this long without a
    /// further part. The client of the store sets the least rate.
    static constexpr base::duration progress_margin =
        std::chrono::milliseconds{1200};

    /// Why the follower may have missed changes.
    enum class gap : std::uint8_t
    {
        none,
        call_failed,
        watch_overdue,
        /// Another daemon has a newer revision.
        behind_peers,
    };

    /// `min_interval` is the least time from a watch that returned changes to
    /// the next one, which batches further changes.
    store_follower(base::duration min_interval, std::uint64_t seed)
        : min_interval_{min_interval}, random_{seed}
    {
    }

    void start(base::time_point now) { list_at_ = now; }
    /// Follows the store from a new listing. Answers to earlier calls are
    /// outdated, since their revisions belong to an earlier era of the store.
    void restart(base::time_point now);
    void set_position(follower_position position);
    /// Another daemon has a change of this revision.
    void on_peer_revision(store_revision revision, base::time_point now);
    /// Another user of the store in this daemon has reached it after an outage.
    void on_store_reached(base::time_point now);
    /// Lists the items, since the watch alone does not say whether the store
    /// still answers.
    void list_now(base::time_point now) { list_again(gap::none, now); }
    /// Something suggests that a call would succeed or is worthwhile now.
    void retry_now(base::time_point now);

    /// Whether the answer to the call is still wanted.
    bool is_wanted(store_call_id call) const;
    /// A part of the answer has arrived. The call is not overdue and no other
    /// attempt competes with it for the link.
    void on_progress(store_call_id call, base::time_point now);
    /// A listing is complete; `newest` is the latest revision among its items.
    void on_listed(store_call_id call, store_revision revision,
                   store_revision newest, base::time_point now);
    /// A watch ended. `newest` is the revision of the last change, if any.
    void on_changes(store_call_id call, store_revision revision,
                    std::optional<store_revision> newest, base::time_point now);
    /// The store no longer has the history that the watch needs.
    void on_history_lost(store_call_id call, base::time_point now);
    void on_failure(store_call_id call, base::time_point now);

    /// The calls that are due.
    std::vector<store_call> advance(base::time_point now);
    base::time_point next_wakeup() const;

    /// Since when changes may have been missed, until the next listing.
    gap current_gap() const { return gap_; }
    bool is_lost() const { return gap_ != gap::none; }
    /// Revision of the newest change of the prefix that this daemon knows.
    store_revision newest_change() const { return newest_change_; }

private:
    struct pending_watch
    {
        store_call_id id_{};
        base::time_point started_;
        /// The follower gives it up then.
        base::time_point due_;
        bool is_arriving_ = false;
    };

    base::duration watch_time() const;
    base::time_point watch_due(base::time_point started,
                               base::duration wait) const;
    void list_again(gap why, base::time_point now);
    void expect_change(base::time_point now);
    base::duration jittered(base::duration pause);

    base::duration min_interval_;
    base::random_source random_;
    follower_position position_;
    std::uint64_t last_id_ = 0;
    /// Listings that may still be answered.
    std::vector<store_call_id> listings_;
    std::optional<pending_watch> watch_;
    base::time_point list_at_ = base::time_point::max();
    base::time_point watch_at_ = base::time_point::max();
    /// Until then no listing competes with one whose answer is arriving.
    base::time_point arriving_until_{};
    base::duration backoff_ = initial_backoff;
    /// The watches of all daemons end with a change, so the next ones are
    /// staggered.
    bool is_after_change_ = true;
    gap gap_ = gap::none;
    /// Revision up to which all changes are known.
    store_revision revision_{};
    store_revision newest_change_{};
    store_revision peer_revision_{};
};

char const* name_of(store_follower::gap gap);

} // namespace tanagerlead::routing
