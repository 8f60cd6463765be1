#pragma once

#include "src/cell/cell_entry.hpp"
#include "src/cell/isolation.hpp"
#include "src/cell/suspicion_exchange.hpp"
#include "src/cell/trace_log.hpp"

#include <deque>
#include <string>

namespace tanagerlead::cell
{

struct coordinator_settings
{
    /// `origin_` is that of the request ids this daemon submits.
    daemon_life self_;
    base::data_centre_id data_centre_;
    scheduler_factory make_scheduler_;
    /// Whether there is a host list, whose first reading is waited for.
    bool has_host_list_ = false;
};

/// What the coordinator wants done.
struct coordinator_output
{
    /// Messages for other daemons, in order.
    std::map<base::daemon_id, std::vector<message>> messages_;
    /// Final words on own requests, each given once.
    std::vector<decided_request> decisions_;

    bool empty() const { return messages_.empty() && decisions_.empty(); }
};

/// One cell, for operators.
struct cell_status
{
    base::cell_id cell_;
    base::daemon_id owner_;
    std::vector<config::target_config> targets_;
    /// This daemon serves its own requests from its standing share.
    bool works_from_share_ = false;
    /// Only for cells owned here.
    cell_counts counts_;
};

/// Which daemon dispatches what, from one daemon's point of view: as entry
/// for its own callers' requests and as owner of its cells. Does no I/O: each
/// event carries the time, and `advance` hands out what is to be done. It is
/// called after every event, or after several.
class coordinator
{
public:
    explicit coordinator(coordinator_settings settings);
    coordinator(coordinator const&) = delete;
    coordinator& operator=(coordinator const&) = delete;

    void on_config(config::snapshot const& snapshot, base::time_point now);
    void on_members(membership::view const& view, base::time_point now);
    void on_message(daemon_life const& from, message const& received,
                    base::time_point now);
    /// A target's own report of its load.
    void observe(sched::target_load const& load, base::time_point now);
    /// All targets that the host list, just read, calls leaving.
    void on_leaving_targets(std::set<base::target_id> targets,
                            base::time_point now);
    void set_store_reachable(bool reachable, base::time_point now);
    /// New work is refused; what waits is still decided.
    void leave() { is_leaving_ = true; }

    void submit(sched::work_item const& item, base::time_point now);
    void resubmit(sched::work_item const& item, base::time_point now);
    void withdraw(base::request_id request, base::time_point now);
    void report(sched::dispatch_report const& event, base::time_point now);

    void advance(base::time_point now, coordinator_output& out);
    base::time_point next_wakeup() const;

    cell_map const& map() const { return map_; }
    /// Targets whose load this daemon should watch.
    std::vector<config::target_config> owned_targets() const;
    /// This daemon chooses targets, as an owner or for an owner that is
    /// silent, and so needs to know the host list.
    bool chooses_targets() const;
    std::vector<cell_status> status() const;
    request_trace const* explain(base::request_id request) const;
    bool is_isolated(base::time_point now) const;

private:
    void rebuild(base::time_point now);
    void take_and_drop_cells(base::time_point now);
    void configure_entries(base::time_point now);
    void place_again(base::cell_id const& vanished, base::time_point now);
    double standing_share() const;
    void configure(base::cell_id const& cell, cell_owner& owner) const;
    void tell_leaving(base::cell_id const& cell, cell_owner& owner,
                      base::time_point now) const;

    base::cell_id choose_cell(sched::work_item const& item,
                              base::time_point now) const;
    std::size_t waiting_ahead(base::cell_id const& cell, base::tier tier,
                              base::time_point now) const;
    cell_entry& entry_for(base::cell_id const& cell, base::time_point now);
    void place(sched::work_item const& item, bool again, base::time_point now);
    void refuse(base::request_id request, sched::refusal_cause cause);
    bool refuses_work(base::request_id request, base::time_point now);

    void handle(daemon_life const& from, message const& received,
                base::time_point now, entry_output& out);
    void handle(daemon_life const& from, request_update const& m,
                base::time_point now, entry_output& out);
    void handle(daemon_life const& from, update_acknowledgement const& m,
                base::time_point now, entry_output& out);
    void handle(daemon_life const& from, decision_message const& m,
                base::time_point now, entry_output& out);
    void handle(daemon_life const& from, decision_answer const& m,
                base::time_point now, entry_output& out);
    void handle(daemon_life const& from, cell_heartbeat const& m,
                base::time_point now, entry_output& out);
    void handle(daemon_life const& from, status_query const& m,
                base::time_point now, entry_output& out);
    void handle(daemon_life const& from, not_held const& m,
                base::time_point now, entry_output& out);
    void handle(daemon_life const& from, suspicion_notice const& m,
                base::time_point now, entry_output& out);
    void exchange_suspicions(base::time_point now);
    cell_owner* owner_of(base::cell_id const& cell);
    cell_entry* entry_of(base::cell_id const& cell);

    void route(entry_output& collected, coordinator_output& out);
    void record_decision(decided_request const& decided, base::time_point now);
    void forget_empty_entries();

    coordinator_settings settings_;
    config::snapshot config_;
    membership::view members_;
    cell_map map_;
    /// Origins of the members that are not dead.
    std::set<std::uint64_t> lives_;
    isolation isolation_;
    leaving_targets leaving_;
    bool is_leaving_ = false;

    std::map<base::cell_id, cell_owner> owned_;
    suspicion_exchange suspicions_;
    std::uint64_t last_epoch_ = 0;
    revision_counter revisions_;
    std::map<base::cell_id, cell_entry> entries_;
    /// Cell of each own request.
    std::map<base::request_id, base::cell_id> cell_of_;

    entry_output pending_;
    std::deque<message> local_;
    trace_log traces_;
};

} // namespace tanagerlead::cell
