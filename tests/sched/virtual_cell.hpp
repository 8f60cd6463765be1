#pragma once

#include "src/base/random.hpp"
#include "tests/sched/fixtures.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace tanagerlead::sched::testing
{

/// Simulated target: a fixed prefill rate, a fixed time between tokens, and at
/// most `slots_` requests at a time.
struct virtual_target
{
    int slots_ = 4;
    double prefill_rate_ = 10000;
    double step_ = 0.01;
    int running_ = 0;
    std::deque<grant> queue_;
    /// Blocks of the prompts that it has run; never evicted.
    std::set<std::uint64_t> cache_;

    /// Returns how many tokens of the prompt were cached, and caches the
    /// others.
    base::token_count match_and_cache(prefix_hashes const& prefix);
};

struct outcome_record
{
    work_item item_;
    base::token_count output_ = 0;
    base::time_point granted_ = base::time_point::max();
    base::time_point ended_ = base::time_point::max();
    std::string target_;
    std::optional<refusal> refusal_;
    /// From the arrival to the refusal.
    base::duration refused_after_{};

    bool served() const { return ended_ != base::time_point::max(); }
};

/// Runs a scheduler in virtual time against targets with fixed service times.
/// Fails the test when a request is decided twice, when the next wakeup is not
/// in the future, or when a lower tier is granted within `shed_gate::window` of
/// shedding a higher one.
class virtual_cell
{
public:
    virtual_cell(std::string_view policy, cell_settings const& settings);

    /// Adds a request that arrives at its `received_`; `output` is the length
    /// of its answer in tokens.
    void add_arrival(work_item item, base::token_count output);
    void run_until(base::time_point end);

    virtual_target& target(std::string const& id) { return targets_[id]; }
    cell_scheduler& scheduler() { return *scheduler_; }
    std::map<std::uint64_t, outcome_record> const& records() const
    {
        return records_;
    }
    std::size_t count(int tier, bool served) const;
    /// Fingerprint of requests that crash every target on which they start;
    /// zero for none.
    std::uint64_t crashing_fingerprint_ = 0;

private:
    struct event
    {
        std::uint64_t request_ = 0;
        std::optional<dispatch_report> report_;
    };

    void handle(event const& e);
    void run_scheduler();
    void on_grant(grant const& g);
    void begin(grant const& g, virtual_target& t);
    void crash(virtual_target& t);
    void on_finished(dispatch_report const& r);
    void check_window(base::tier shed, base::tier granted,
                      base::duration distance) const;

    std::unique_ptr<cell_scheduler> scheduler_;
    bool checks_tier_order_;
    std::map<std::string, virtual_target> targets_;
    std::multimap<base::time_point, event> events_;
    std::map<std::uint64_t, outcome_record> records_;
    std::set<std::uint64_t> dispatched_;
    std::vector<std::pair<base::tier, base::time_point>> sheds_;
    std::vector<std::pair<base::tier, base::time_point>> grants_;
    base::time_point now_{};
};

} // namespace tanagerlead::sched::testing
