#pragma once

#include "src/cell/cell_map.hpp"
#include "src/cell/messages.hpp"
#include "src/cell/timer_queue.hpp"
#include "src/sched/cell_scheduler.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace tanagerlead::cell
{

/// A message for another daemon or for the own one.
struct outgoing_message
{
    base::daemon_id to_;
    message message_;
};

/// Requests in one cell, for operators.
struct cell_counts
{
    std::vector<std::size_t> waiting_by_tier_;
    std::map<base::target_id, std::size_t> in_flight_by_target_;
};

/// The owner's side of one cell: what the entries hold, and the grants that
/// its scheduler made of it. Built anew with each tenure.
class cell_owner
{
public:
    /// `begin`: when the tenure begins.
    cell_owner(base::cell_id cell, cell_epoch epoch,
               std::unique_ptr<sched::cell_scheduler> scheduler,
               base::time_point begin);

    void configure(sched::cell_settings const& settings);
    void observe(sched::target_load const& load, base::time_point now);
    sched::cell_scheduler& scheduler() { return *scheduler_; }
    /// Nothing is granted or refused before then.
    void hold_until(base::time_point when) { held_until_ = when; }
    void set_leaving(base::target_id const& target, bool leaving,
                     base::time_point now);
    /// Requests of any other life are dropped; what those had in flight is
    /// counted for a while yet.
    void keep_lives(std::set<std::uint64_t> const& origins,
                    base::time_point now);

    void on_update(daemon_life const& from, request_update const& update,
                   base::time_point now, std::vector<outgoing_message>& out);
    void on_answer(daemon_life const& from, decision_answer const& answer,
                   base::time_point now);
    void on_not_held(daemon_life const& from, not_held const& lost,
                     base::time_point now);

    void advance(base::time_point now, std::vector<outgoing_message>& out);
    base::time_point next_wakeup() const;

    cell_epoch epoch() const { return epoch_; }
    cell_counts counts() const;

private:
    enum class stage
    {
        /// Known, and neither waiting nor in flight here.
        idle,
        queued,
        /// Waiting at an entry that is silent; not in the scheduler.
        passed_over,
        /// Granted; the entry has not answered.
        granted,
        running,
        /// Granted to an entry that stayed silent; no longer in flight here.
        lapsed,
        /// Refused; the entry has not answered.
        refused,
        /// In flight at an entry that died.
        orphaned,
    };

    struct held_request
    {
        sched::work_item item_;
        base::daemon_id entry_;
        revision revision_{};
        stage stage_ = stage::idle;
        base::time_point queued_at_;
        base::target_id target_;
        decision_message decision_;
        base::time_point decided_at_;
        base::duration resend_{};
    };

    struct ended_request
    {
        base::request_id request_;
        base::time_point until_;
    };

    /// What is known of the life of an entry.
    struct entry_contact
    {
        base::time_point heard_;
        bool is_passed_over_ = false;
    };

    using held_map = std::map<base::request_id, held_request>;

    void heard(daemon_life const& from, base::time_point now);
    void note_silence(held_request& held, base::time_point now);
    void pass_over(std::uint64_t origin, base::time_point now);
    void put_back_returned(base::time_point now);
    void put_back(std::uint64_t origin, base::time_point now);
    bool has_lapsed(std::uint64_t origin) const;
    void adopt_update(held_request& held, request_update const& update,
                      base::time_point now);
    void apply_reports(held_request& held, request_update const& update,
                       base::time_point now);
    void become_waiting(held_request& held, request_update const& update,
                        base::time_point now);
    void become_running(held_request& held, request_update const& update,
                        base::time_point now);
    void release(held_request& held, sched::dispatch_event event,
                 base::time_point now);
    void end(base::request_id request, base::time_point now);
    void erase(base::request_id request);
    void set_stage(held_request& held, stage next);
    base::time_point grants_from() const;
    bool occupies_target(held_request const& held) const;
    bool is_waiting(held_request const& held) const;

    void acknowledge(daemon_life const& to, request_update const& update,
                     revision known, std::vector<outgoing_message>& out) const;
    void apply(sched::action const& action, base::time_point now,
               std::vector<outgoing_message>& out);
    void decide(held_request& held, decision_message decision,
                base::time_point now, std::vector<outgoing_message>& out);
    void run_timer(base::request_id request, base::time_point now,
                   std::vector<outgoing_message>& out);
    void resend(held_request& held, base::time_point now,
                std::vector<outgoing_message>& out);
    void send_queries(base::time_point now, std::vector<outgoing_message>& out);
    void send_heartbeats(base::time_point now,
                         std::vector<outgoing_message>& out);
    tier_counts waiting_by_tier() const;
    base::tier permitted_tier(base::time_point now) const;
    void forget_ended(base::time_point now);

    base::cell_id cell_;
    cell_epoch epoch_;
    std::unique_ptr<sched::cell_scheduler> scheduler_;
    base::tier lowest_tier_{};
    base::time_point settled_at_;
    base::time_point held_until_ = base::time_point::min();
    held_map held_;
    timer_queue<base::request_id> timers_;
    /// By the origin of the entry's life.
    std::map<std::uint64_t, entry_contact> contacts_;
    /// Lives heard of again whose requests are not yet put back.
    std::set<std::uint64_t> returned_;
    /// Entries with requests queued here, and how many.
    std::map<base::daemon_id, std::size_t> queued_by_entry_;
    base::time_point next_heartbeat_;
    std::map<base::daemon_id, std::vector<base::request_id>> queries_;
    std::map<base::request_id, revision> ended_;
    std::deque<ended_request> ended_order_;
    std::vector<sched::action> actions_;
    std::uint64_t last_number_ = 0;
};

} // namespace tanagerlead::cell
