#pragma once

#include "src/base/random.hpp"
#include "src/routing/peer_report.hpp"
#include "src/routing/target_limits.hpp"

#include <array>
#include <deque>
#include <memory>
#include <string>

namespace tanagerlead::routing::testing
{

/// Daemons that send to targets with limits in virtual time, while daemons die,
/// freeze and are not heard, reports are lost, late and doubled, and targets
/// name limits, change them and take them back. Counts the windows in which a
/// target gets more than its limit allows.
class simulated_limits
{
public:
    struct settings
    {
        std::size_t daemons_ = 7;
        /// Nothing is promised for this time after a limit was named, or for a
        /// daemon after a disturbance of it.
        base::duration stable_window_{};
        std::size_t targets_ = 3;
        bool has_faults_ = true;
        /// Requests that all daemons have for one target in a second.
        double demand_ = 200;
    };

    simulated_limits(settings s, std::uint64_t seed);

    void run(base::duration length);

    int violations() const { return violations_; }
    std::string const& first_violation() const { return first_violation_; }
    /// Arrivals at targets with a stable limit.
    int checked() const { return checked_; }
    /// Arrivals divided by what the stable limits allowed.
    double used_fraction() const { return checked_ / allowed_; }

private:
    struct simulated_target
    {
        incarnation_digest digest_{};
        /// Zero: no limit.
        request_rate limit_;
        base::time_point limited_at_{};
        /// Arrivals of the last window from daemons that are not excused.
        std::deque<base::time_point> arrivals_;
    };

    struct answer
    {
        std::size_t daemon_ = 0;
        std::size_t target_ = 0;
        std::uint64_t life_ = 0;
        std::optional<request_rate> limit_;
        base::time_point sent_;
        base::time_point arrives_at_;
    };

    struct report
    {
        std::size_t to_ = 0;
        std::size_t from_ = 0;
        std::shared_ptr<std::vector<limit_statement> const> statements_;
        base::time_point arrives_at_;
    };

    struct daemon
    {
        peer_ip ip_{};
        std::unique_ptr<target_limits> limits_;
        std::uint64_t life_ = 0;
        std::size_t turn_ = 0;
        /// Requests that wait, by target.
        std::vector<int> waiting_;
        base::time_point dead_until_ = base::time_point::min();
        base::time_point died_at_ = base::time_point::min();
        base::time_point frozen_until_ = base::time_point::min();
        base::time_point unheard_until_ = base::time_point::min();
        base::time_point disturbed_at_ = base::time_point::min();
    };

    void fail_at_random();
    void move_limits();
    void start(daemon& d);
    void send_requests(std::size_t number);
    void deliver();
    void exchange_reports();
    void update_fleets();
    void on_arrival(std::size_t from, simulated_target& t);
    bool runs(daemon const& d) const
    {
        return now_ >= d.dead_until_ && now_ >= d.frozen_until_;
    }
    bool is_heard(daemon const& d) const
    {
        return runs(d) && now_ >= d.unheard_until_;
    }
    base::duration between(base::duration least, base::duration most);

    settings settings_;
    base::random_source random_;
    base::time_point now_;
    std::vector<simulated_target> targets_;
    std::vector<daemon> daemons_;
    std::deque<answer> answers_;
    std::deque<report> reports_;
    base::time_point next_fault_;
    base::time_point next_report_;
    int violations_ = 0;
    int checked_ = 0;
    double allowed_ = 0;
    std::string first_violation_;
};

} // namespace tanagerlead::routing::testing
