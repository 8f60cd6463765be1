#pragma once

#include "tests/cell/cluster.hpp"

#include <map>
#include <string>
#include <vector>

namespace tanagerlead::cell
{

/// One random run of a few daemons under faults, and what has to hold of it.
/// Requests run for a random time; there is no other model of a target.
class history
{
public:
    explicit history(std::uint64_t seed,
                     scheduler_factory make_scheduler = make_fifo_scheduler);

    /// Runs it all; the first violated promise, empty when all held.
    std::string run();

    std::size_t dispatches() const { return dispatches_; }
    std::size_t share_dispatches() const { return share_dispatches_; }
    std::size_t withdrawals() const { return withdrawals_; }

private:
    struct request_history
    {
        std::size_t node_ = 0;
        int submissions_ = 1;
        int decisions_ = 0;
        bool started_ = false;
        bool withdrawn_ = false;
        /// Its daemon died, and its caller's connection with it.
        bool lost_ = false;
        base::target_id target_;
    };
    using action = void (history::*)();

    void act();
    void submit();
    void withdraw();
    void crash_or_restart();
    void freeze_or_resume();
    void cut_or_mend();
    void spread();
    void drain_or_undrain();
    void change_config();
    void poll_hosts();
    std::set<base::target_id> leaving_now() const;
    void mend_everything();
    void let_everything_finish();

    void run_until(base::time_point end);
    void take_decisions();
    void check_dispatch(recorded_decision const& recorded,
                        request_history& known);
    void end_due_runs();
    void end_run(base::request_id request);
    void check_end();
    void violated(std::string const& promise, base::request_id request);

    std::size_t some_node() { return random_.below(cluster_.size()); }
    base::duration up_to(base::duration longest);

    std::uint64_t seed_;
    base::random_source random_;
    cluster cluster_;
    std::map<base::request_id, request_history> requests_;
    std::multimap<base::time_point, base::request_id> ends_;
    std::map<base::target_id, base::time_point> leaving_since_;
    std::vector<bool> frozen_;
    /// Who has read the host list in this interval.
    std::vector<bool> read_;
    base::time_point last_resume_;
    base::time_point next_poll_;
    std::string violation_;
    std::size_t dispatches_ = 0;
    std::size_t share_dispatches_ = 0;
    std::size_t withdrawals_ = 0;
};

} // namespace tanagerlead::cell
