#pragma once

#include "src/cell/cell_owner.hpp"
#include "src/cell/leaving_targets.hpp"
#include "src/request/dispatcher.hpp"

#include <functional>

namespace tanagerlead::cell
{

/// Makes a scheduler by the chosen policy; never null.
using scheduler_factory =
    std::function<std::unique_ptr<sched::cell_scheduler>()>;

/// Final word on one request of this daemon.
struct decided_request
{
    base::request_id request_;
    request::decision decision_;
    /// Life that decided; the own one for the standing share.
    daemon_life by_;
};

/// A request that its cell no longer remembers.
struct forgotten_request
{
    base::cell_id cell_;
    base::request_id request_;
};

/// What the entry's side of a cell puts out.
struct entry_output
{
    std::vector<outgoing_message> messages_;
    std::vector<decided_request> decisions_;
    std::vector<forgotten_request> forgotten_;
};

/// Gives revisions that rise over all requests of one life, so that a request
/// which comes back to a cell is newer than anything remembered of it there.
class revision_counter
{
public:
    revision next() { return revision{++last_}; }

private:
    std::uint64_t last_ = 0;
};

/// The entry's side of one cell: this daemon's requests that wait or run
/// there. It tells them to the cell's owner, uses at most one decision for
/// each, and serves them from its standing share while the owner is silent.
class cell_entry
{
public:
    /// The references outlive it.
    cell_entry(base::cell_id cell, daemon_life self,
               scheduler_factory const& make_scheduler,
               leaving_targets const& leaving, revision_counter& revisions);

    /// `share` is this entry's part of the cell while its owner is silent.
    void configure(cell_layout const& layout, config::snapshot snapshot,
                   double share);
    void set_owner(daemon_life const& owner, base::time_point now);
    /// What it was told to refer to has changed.
    void on_leaving_targets(base::time_point now);

    void submit(sched::work_item const& item, base::time_point now);
    void resubmit(sched::work_item const& item, base::time_point now);
    void withdraw(base::request_id request, base::time_point now);
    void report(sched::dispatch_report const& event, base::time_point now);
    /// Removes and returns what is waiting, for another cell.
    std::vector<sched::work_item> take_waiting(base::time_point now);

    void on_acknowledgement(daemon_life const& from,
                            update_acknowledgement const& acknowledged,
                            base::time_point now);
    void on_decision(daemon_life const& from, decision_message const& decision,
                     base::time_point now, entry_output& out);
    void on_heartbeat(daemon_life const& from, cell_heartbeat const& beat,
                      base::time_point now);
    void on_query(daemon_life const& from, status_query const& query,
                  std::vector<outgoing_message>& out) const;

    void advance(base::time_point now, entry_output& out);
    base::time_point next_wakeup() const;

    bool holds(base::request_id request) const;
    /// No request left, remembered ones included.
    bool empty() const { return records_.empty(); }
    bool works_from_share() const { return share_scheduler_ != nullptr; }
    /// Requests that a new one of this tier would wait behind in the whole
    /// cell, as last heard; those known here when nothing was heard lately.
    std::size_t waiting_ahead(base::tier tier, base::time_point now) const;

private:
    /// Names a decision over all owners.
    struct decision_key
    {
        std::uint64_t origin_ = 0;
        std::uint64_t number_ = 0;

        bool operator==(decision_key const&) const = default;
    };

    struct record
    {
        sched::work_item item_;
        request_state state_ = request_state::waiting;
        revision revision_{};
        /// Last revision that the owner acknowledged; 0: it needs all.
        revision acknowledged_{};
        base::target_id target_;
        std::vector<numbered_report> reports_;
        std::vector<decision_key> used_;
        base::duration resend_{};
        /// A report said that bytes may have reached a target.
        bool may_have_run_ = false;
    };

    using record_map = std::map<base::request_id, record>;

    void raise(record& changed);
    void send_soon(record& changed, base::time_point when);
    void start_waiting(record& fresh, base::time_point now);
    void leave_waiting(record& changed);
    void set_ended(record& changed, base::time_point now);
    void add_report(record& changed, sched::dispatch_report const& event);
    void send_update(record& one, base::time_point now,
                     std::vector<outgoing_message>& out);
    void tell_all_again(base::time_point now);
    void heard(daemon_life const& from, cell_epoch epoch, base::time_point now);

    bool is_settled(record const& one, daemon_life const& with) const;
    bool may_use(base::target_id const& target) const;
    base::address address_of(base::target_id const& target) const;
    void use_grant(record& one, base::target_id const& target,
                   decision_key const& key, base::time_point now,
                   entry_output& out, daemon_life const& by);
    void use_refusal(record& one, decision_message const& decision,
                     base::time_point now, entry_output& out,
                     daemon_life const& by);
    void decline(record& one, base::time_point now);

    bool owner_is_silent(base::time_point now) const;
    void begin_share(base::time_point now);
    void end_share();
    void permit(base::time_point now);
    void advance_share(base::time_point now, entry_output& out);
    void apply_share_action(sched::action const& action, base::time_point now,
                            entry_output& out);

    base::cell_id cell_;
    daemon_life self_;
    scheduler_factory const* make_scheduler_;
    leaving_targets const* leaving_;
    revision_counter* revisions_;
    cell_layout layout_;
    config::snapshot config_;
    double share_ = 1.0;

    daemon_life owner_;
    cell_epoch epoch_{};
    /// Last sign of life of the owner, or when one began to be expected.
    base::time_point listening_since_;
    base::tier permitted_{};
    base::time_point permitted_until_ = base::time_point::min();
    bool permission_is_fresh_ = false;
    tier_counts waiting_in_cell_{};

    record_map records_;
    std::size_t waiting_ = 0;
    tier_counts waiting_by_tier_{};
    timer_queue<base::request_id> resends_;
    timer_queue<base::request_id> expiries_;
    std::unique_ptr<sched::cell_scheduler> share_scheduler_;
    base::time_point share_held_until_ = base::time_point::min();
    std::vector<sched::action> actions_;
};

/// Settings of a scheduler for one cell.
sched::cell_settings settings_for(cell_layout const& layout,
                                  config::configuration const& configuration,
                                  double share);

} // namespace tanagerlead::cell
