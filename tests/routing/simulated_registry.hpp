#pragma once

#include "src/base/random.hpp"
#include "src/routing/store_follower.hpp"
#include "src/routing/target_directory.hpp"

#include <deque>
#include <memory>
#include <string>

namespace tanagerlead::routing::testing
{

/// Daemons that follow a registry in virtual time while the store, their paths
/// to it, their connections, their reports to each other and the daemons
/// themselves fail at random, and targets leave with and without announcing it.
/// Counts the moments at which a daemon still uses a target that left long ago.
class simulated_registry
{
public:
    struct settings
    {
        std::size_t daemons_ = 7;
        /// After a disturbance of the store or of a daemon, nothing is promised
        /// for this time.
        base::duration stable_window_{};
        /// Time in which a departure must count at all daemons.
        base::duration departure_bound_{};
    };

    simulated_registry(settings s, std::uint64_t seed);

    void run(base::duration length);

    int violations() const { return violations_; }
    std::string const& first_violation() const { return first_violation_; }
    /// Moments at which a daemon was checked.
    int checked() const { return checked_; }

private:
    enum class path : std::uint8_t
    {
        open,
        /// Calls get no answer, and their connections look alive.
        silent,
        /// Calls fail at once.
        refused,
    };

    struct call
    {
        store_call call_;
        base::time_point started_;
        /// Its answer never comes, although new calls are answered.
        bool is_dead_ = false;
        /// It is answered after a time in which the store is silent.
        bool outlives_silence_ = false;
    };

    struct simulated_target
    {
        target_info info_;
        bool is_listed_ = true;
        bool is_alive_ = true;
        /// The store has accepted that it leaves.
        base::time_point left_at_ = base::time_point::max();
        base::time_point registers_at_ = base::time_point::max();
        store_revision revision_{};
    };

    struct change
    {
        store_revision revision_{};
        std::size_t target_ = 0;
        bool is_removal_ = false;
        bool draining_ = false;
    };

    struct daemon
    {
        std::size_t number_ = 0;
        base::time_point started_at_{};
        std::unique_ptr<store_follower> follower_;
        target_directory directory_;
        /// The time of the last listing that decided on missing targets.
        base::time_point listed_for_{};
        store_revision newest_seen_{};
        std::vector<call> calls_;
        bool was_lost_ = false;
        path path_ = path::open;
        base::time_point path_until_ = base::time_point::min();
        base::time_point frozen_until_ = base::time_point::min();
        /// Its reports are lost in both directions.
        base::time_point unheard_until_ = base::time_point::min();
        base::time_point disturbed_at_ = base::time_point::min();
    };

    struct report
    {
        std::size_t to_ = 0;
        store_revision revision_{};
        base::time_point arrives_at_;
    };

    void fail_at_random();
    void disturb_store();
    void disturb_daemon();
    void move_targets();
    void remove(std::size_t target);
    void put(std::size_t target);
    void start(daemon& d);
    void answer_calls(daemon& d);
    void answer_listing(daemon& d, store_call_id id);
    bool answer_watch(daemon& d, call const& c);
    void advance(daemon& d);
    void report_changes();
    void update_positions();
    void check();
    void check_live_targets(daemon const& d);
    void check_departures(daemon const& d);
    void violate(daemon const& d, std::string const& what);
    bool is_frozen(daemon const& d) const { return now_ < d.frozen_until_; }
    bool is_unheard(daemon const& d) const { return now_ < d.unheard_until_; }
    path path_of(daemon const& d) const;
    base::duration between(base::duration least, base::duration most);

    settings settings_;
    base::random_source random_;
    base::time_point now_;
    std::vector<simulated_target> targets_;
    std::vector<change> history_;
    std::uint64_t revision_ = 10;
    std::deque<daemon> daemons_;
    std::deque<report> reports_;
    path store_ = path::open;
    base::time_point store_until_ = base::time_point::min();
    base::time_point store_failed_at_ = base::time_point::min();
    base::time_point store_disturbed_at_ = base::time_point::min();
    bool entries_expire_ = false;
    base::time_point next_fault_;
    base::time_point next_report_;
    base::time_point next_position_;
    int violations_ = 0;
    int checked_ = 0;
    std::string first_violation_;
};

} // namespace tanagerlead::routing::testing
