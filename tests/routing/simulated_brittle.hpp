#pragma once

#include "tests/routing/fixtures.hpp"

#include <deque>
#include <map>
#include <memory>

namespace tanagerlead::routing::testing
{

/// Daemons before brittle targets in virtual time. A target that turns away
/// more requests in a second than it stands ends, and is back later as a new
/// incarnation. There are more requests than the targets can run, some callers
/// leave early, and some targets go on running what a caller has left. Daemons
/// die, freeze, start, are not heard and are cut off from the targets; targets
/// crash, or go on running what all daemons have lost; requests come in bursts;
/// reports are lost and late.
class simulated_brittle
{
public:
    struct settings
    {
        std::size_t daemons_ = 7;
        std::size_t targets_ = 12;
        int slots_ = 6;
        /// Rejections a second beyond which a target falls over.
        int max_rejections_ = 5;
        /// From that long after the first statement falls count, and fewer
        /// requests may wait.
        base::duration stable_window_ = std::chrono::seconds{3};
        base::duration report_interval_ = std::chrono::milliseconds{150};
        base::duration length_ = std::chrono::seconds{25};
        /// Requests that arrive, divided by those that the targets can run.
        double load_ = 1.5;
        bool has_faults_ = true;
    };

    struct result
    {
        /// Falls in the stable time of which most rejections came from daemons
        /// that were not disturbed.
        int falls_ = 0;
        int asked_ = 0;
        int served_ = 0;
        /// Rejections in the stable time, and those of them that came from a
        /// daemon which did not know the target to be brittle, or less than
        /// 100 ms after another one by the same daemon and target.
        int rejections_ = 0;
        int unaware_ = 0;
        int repeated_ = 0;
        std::string first_fall_;
    };

    simulated_brittle(settings s, std::uint64_t seed);

    result run();

private:
    struct daemon
    {
        std::unique_ptr<peer_table> peers_;
        std::unique_ptr<dispatcher> dispatcher_;
        std::uint64_t life_ = 0;
        std::uint32_t reports_ = 0;
        std::map<std::uint64_t, pending_call> calls_;
        /// By target, the time of the last rejection.
        std::map<std::size_t, base::time_point> rejected_at_;
        base::time_point registry_due_ = base::time_point::max();
        base::time_point died_at_ = base::time_point::min();
        base::time_point dead_until_ = base::time_point::min();
        base::time_point frozen_until_ = base::time_point::min();
        base::time_point unheard_until_ = base::time_point::min();
        base::time_point cut_until_ = base::time_point::min();
        base::time_point disturbed_until_ = base::time_point::min();
    };

    /// A request at a target, or on its way back from one.
    struct job
    {
        std::size_t daemon_ = 0;
        std::uint64_t life_ = 0;
        std::uint64_t number_ = 0;
        base::time_point sent_;
        base::duration work_{};
        /// The caller leaves then.
        base::time_point left_at_;
        base::time_point ends_at_ = base::time_point::max();
        bool is_abandoned_ = false;
    };

    struct rejection
    {
        base::time_point at_;
        bool counts_ = false;
    };

    struct simulated_target
    {
        target_info info_;
        int incarnation_ = 0;
        base::time_point down_until_ = base::time_point::min();
        std::vector<job> running_;
        std::deque<job> queue_;
        std::deque<rejection> rejections_;
    };

    struct answer
    {
        std::size_t daemon_ = 0;
        std::uint64_t life_ = 0;
        std::uint64_t number_ = 0;
        target_info target_;
        std::size_t place_ = 0;
        base::time_point sent_;
        attempt_outcome outcome_{};
        bool is_answer_ = false;
        /// The target has begun to run the request.
        bool is_admission_ = false;
    };

    struct message
    {
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        std::shared_ptr<peer_report const> report_;
    };

    void start(std::size_t index);
    void fail_at_random();
    void arrive();
    void run_targets();
    void begin(std::size_t place, job j);
    void leave(std::size_t place);
    void turn_away(std::size_t place, job const& j);
    void end_target(std::size_t place);
    void connect(std::size_t index, std::uint64_t number,
                 target_info const& target);
    void answer_later(std::size_t place, job const& j, attempt_outcome outcome,
                      bool is_answer, base::duration delay = {});
    void deliver();
    void on_answer(answer const& a);
    void end_attempt(std::size_t index, std::uint64_t number,
                     target_info const& target, attempt_outcome outcome);
    void update_fleets();
    void update_registries();
    void change_registry();
    void report(std::size_t from);
    void decide(std::size_t index);
    void cut_off(std::size_t index);
    void break_links(std::size_t place);
    bool is_up(simulated_target const& t) const
    {
        return now_ >= t.down_until_;
    }
    bool runs(daemon const& d) const
    {
        return now_ >= d.dead_until_ && now_ >= d.frozen_until_;
    }
    bool is_heard(daemon const& d) const
    {
        return runs(d) && now_ >= d.unheard_until_;
    }
    bool is_brittle() const;
    /// Falls count, and fewer requests may wait.
    bool is_stable() const;
    base::duration between(base::duration least, base::duration most);

    settings settings_;
    base::random_source random_;
    base::time_point now_;
    std::vector<simulated_target> targets_;
    std::vector<daemon> daemons_;
    std::multimap<base::time_point, answer> answers_;
    std::multimap<base::time_point, message> messages_;
    base::time_point next_fault_;
    base::time_point burst_until_ = base::time_point::min();
    std::uint64_t next_ = 0;
    double arrivals_ = 0;
    result result_;
};

} // namespace tanagerlead::routing::testing
