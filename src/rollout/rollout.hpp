#pragma once

#include "src/rollout/evidence.hpp"
#include "src/rollout/exposure_budget.hpp"
#include "src/rollout/types.hpp"

#include <map>
#include <optional>
#include <string>

namespace tanagerlead::rollout
{

/// Why an order can't be carried out; empty when it can.
std::string check(order const& o);

/// Targets of the new version to use on trial, so that each bears as much as a
/// target of the old one: a version may be bad under load only.
std::size_t trial_target_count(std::size_t before, std::size_t after,
                               double share);

/// One daemon's view of one pool's rollout.
class rollout
{
public:
    struct settings
    {
        exposure_budget::settings exposure_;
    };

    /// A change of the shared record. To be written only if the key still has
    /// revision `expected_` and only before `valid_until_`.
    struct proposal
    {
        record record_;
        revision expected_ = 0;
        base::time_point valid_until_{};
        std::string reason_;
    };

    struct actions
    {
        std::optional<proposal> write_;
        /// The record should be read from the store.
        bool read_ = false;
    };

    rollout(settings const& s, base::daemon_id self, base::incarnation life);

    /// A new order. `serving`: versions of the pool's targets. `daemons`:
    /// number known now, 0 when the order was there before this daemon.
    void on_order(order const& o,
                  std::set<base::software_version> const& serving,
                  std::size_t daemons, base::time_point now);
    /// The operator took the order back.
    void on_order_withdrawn() { withdrawn_ = true; }
    /// The record as read from the store; none when the key is absent. `asked`
    /// is when the read was sent.
    void on_record(std::optional<record> const& r, revision at,
                   base::time_point asked);
    /// The store is another one, or an older copy.
    void on_store_restored();
    void on_report(base::daemon_id const& peer, report const& r,
                   base::time_point now);

    /// Chooses for a new request, right before it is sent.
    arm choose(base::time_point now);
    /// True when a retry or resumption may go to the version that began it.
    bool may_resume(arm version, base::time_point now);
    /// Side of a version; none when it may get nothing.
    std::optional<arm> side(base::software_version const& version) const;

    void on_answer(route_digest route, arm version, bool failed,
                   base::duration latency);
    void on_running_before(std::uint64_t count) { running_before_ = count; }

    /// To be called several times a second.
    actions tick(base::time_point now);
    report own_report(base::time_point now) const;

    phase current() const { return record_.phase_; }
    bool alarm() const { return evidence_.alarm(); }
    std::uint64_t exposed() const { return budget_.taken(); }

private:
    struct peer_state
    {
        base::time_point heard_{};
        std::uint64_t running_before_ = 0;
    };

    bool has_record() const { return record_.order_ == order_.revision_; }
    base::duration elapsed(base::time_point now) const;
    bool permitted(base::time_point now) const;
    void enter(phase p, base::time_point now);
    std::size_t rank(base::time_point now) const;
    bool none_runs_before(base::time_point now) const;
    /// The next phase and why, or none to stay.
    std::optional<std::pair<phase, std::string>>
    next_phase(base::time_point now) const;
    std::set<base::software_version> versions_before() const;

    settings settings_;
    base::daemon_id self_;
    base::incarnation life_;
    order order_;
    std::set<base::software_version> serving_;
    bool withdrawn_ = false;
    base::time_point begin_{};
    /// The last known record, perhaps of an earlier order.
    record record_;
    revision record_revision_ = 0;
    /// The stored record lacks the final phase that is known here.
    bool store_is_behind_ = false;
    /// False until the key has been read.
    bool record_known_ = false;
    base::time_point confirmed_{};
    base::time_point last_read_{};
    base::time_point last_tick_{};
    base::time_point peers_confirm_from_{};
    base::time_point phase_since_{};
    /// When the next phase was first wanted.
    std::optional<base::time_point> wanted_since_;
    double move_credit_ = 0;
    std::uint64_t running_before_ = 0;
    std::map<base::daemon_id, peer_state> peers_;
    exposure_budget budget_;
    evidence evidence_;
};

} // namespace tanagerlead::rollout
