#include "tests/routing/simulated_limits.hpp"
#include "tests/routing/fixtures.hpp"

#include <algorithm>

namespace tanagerlead::routing::testing
{

namespace
{

constexpr base::duration step = 10ms;
constexpr base::duration answer_time = 40ms;
constexpr base::duration report_interval = 150ms;
constexpr base::duration max_report_delay = 60ms;
constexpr double report_loss = 0.2;
constexpr base::duration mean_fault_interval = 1500ms;
/// Requests of one daemon that wait for one target; others are refused.
constexpr int max_waiting = 3;
/// A silent daemon is forgotten after this time.
constexpr base::duration retention = 8s;
/// The window of the rule, and what it allows in it.
constexpr base::duration window = 4s;
constexpr double window_factor = 1.5;
constexpr double window_slack = 5;

} // namespace

simulated_limits::simulated_limits(settings s, std::uint64_t seed)
    : settings_{s}, random_{seed}, now_{at(0s)}, targets_(settings_.targets_),
      daemons_(settings_.daemons_), next_fault_{at(2s)}, next_report_{now_}
{
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        targets_[i].digest_ = incarnation_digest{1000 + i};
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        daemons_[i].ip_ = peer_ip{static_cast<std::uint32_t>(500 + 3 * i)};
        start(daemons_[i]);
    }
}

base::duration simulated_limits::between(base::duration least,
                                         base::duration most)
{
    return base::from_seconds(base::seconds(least) +
                              random_.uniform() * base::seconds(most - least));
}

void simulated_limits::start(daemon& d)
{
    d.limits_ = std::make_unique<target_limits>(d.ip_);
    d.waiting_.assign(targets_.size(), 0);
    ++d.life_;
}

void simulated_limits::run(base::duration length)
{
    for (auto const end = now_ + length; now_ < end; now_ += step)
    {
        move_limits();
        if (settings_.has_faults_)
        {
            fail_at_random();
        }
        deliver();
        if (now_ >= next_report_)
        {
            next_report_ = now_ + report_interval;
            update_fleets();
            exchange_reports();
        }
        for (std::size_t i = 0; i < daemons_.size(); ++i)
        {
            if (runs(daemons_[i]))
            {
                send_requests(i);
            }
        }
    }
}

// All targets name limits at about the same time; later some change theirs.
void simulated_limits::move_limits()
{
    constexpr std::array rates{0.5, 2.0, 5.5, 20.0};
    for (auto& t : targets_)
    {
        auto const is_first = t.limited_at_ == base::time_point{};
        if (is_first ? now_ >= at(1s) : random_.below(2000) == 0)
        {
            auto const takes_back = !is_first && random_.below(3) == 0;
            t.limit_ = {takes_back ? 0.0
                                   : rates.at(random_.below(rates.size()))};
            t.limited_at_ = now_;
            t.arrivals_.clear();
        }
        if (t.limit_.per_second_ > 0 &&
            now_ >= t.limited_at_ + settings_.stable_window_)
        {
            allowed_ += t.limit_.per_second_ * base::seconds(step);
        }
    }
}

void simulated_limits::fail_at_random()
{
    if (now_ < next_fault_)
    {
        return;
    }
    next_fault_ = now_ + between({}, 2 * mean_fault_interval);
    auto const count = 1 + random_.below(1 + daemons_.size() / 3);
    for (std::size_t i = 0; i < count; ++i)
    {
        auto& d = daemons_[random_.below(daemons_.size())];
        if (!runs(d))
        {
            continue;
        }
        switch (random_.below(3))
        {
        case 0:
            d.died_at_ = now_;
            d.dead_until_ = now_ + between(300ms, 12s);
            d.disturbed_at_ = std::max(d.disturbed_at_, d.dead_until_);
            start(d);
            break;
        case 1:
            d.frozen_until_ = now_ + between(300ms, 6s);
            d.disturbed_at_ = std::max(d.disturbed_at_, d.frozen_until_);
            break;
        default:
            // Not excused: it goes on serving.
            d.unheard_until_ = now_ + between(300ms, 6s);
            break;
        }
    }
}

// Daemons that are silent stay known until they are forgotten; a daemon that
// has started knows the fleet once it has heard of it.
void simulated_limits::update_fleets()
{
    std::vector<peer_ip> fleet;
    for (auto const& d : daemons_)
    {
        if (now_ >= d.dead_until_ || now_ < d.died_at_ + retention)
        {
            fleet.push_back(d.ip_);
        }
    }
    for (auto& d : daemons_)
    {
        if (is_heard(d))
        {
            d.limits_->set_fleet(fleet, now_);
        }
    }
}

void simulated_limits::exchange_reports()
{
    for (std::size_t from = 0; from < daemons_.size(); ++from)
    {
        auto& d = daemons_[from];
        if (!is_heard(d))
        {
            continue;
        }
        constexpr std::size_t most = peer_report::max_limits;
        auto const statements =
            std::make_shared<std::vector<limit_statement> const>(
                d.limits_->reported(now_, d.turn_, most));
        d.turn_ += most;
        if (statements->empty())
        {
            continue;
        }
        for (std::size_t to = 0; to < daemons_.size(); ++to)
        {
            if (random_.uniform() >= report_loss)
            {
                reports_.push_back(
                    {to, from, statements, now_ + max_report_delay});
                if (random_.below(16) == 0)
                {
                    reports_.push_back(reports_.back());
                }
            }
        }
    }
}

void simulated_limits::deliver()
{
    while (!reports_.empty() && reports_.front().arrives_at_ <= now_)
    {
        auto const& r = reports_.front();
        auto& to = daemons_[r.to_];
        if (is_heard(to))
        {
            for (auto const& statement : *r.statements_)
            {
                to.limits_->on_reported(statement, now_);
            }
        }
        reports_.pop_front();
    }
    while (!answers_.empty() && answers_.front().arrives_at_ <= now_)
    {
        auto const& a = answers_.front();
        auto& d = daemons_[a.daemon_];
        if (runs(d) && d.life_ == a.life_)
        {
            d.limits_->on_answer(targets_[a.target_].digest_, a.limit_, a.sent_,
                                 now_);
        }
        answers_.pop_front();
    }
}

void simulated_limits::send_requests(std::size_t number)
{
    auto& d = daemons_[number];
    auto const chance = settings_.demand_ * base::seconds(step) /
                        static_cast<double>(daemons_.size());
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        auto& t = targets_[i];
        auto& waiting = d.waiting_[i];
        waiting += random_.uniform() < chance && waiting < max_waiting ? 1 : 0;
        if (waiting == 0)
        {
            continue;
        }
        auto const* const limit = d.limits_->find(t.digest_);
        if (limit != nullptr && limit->available(now_) == 0)
        {
            continue;
        }
        --waiting;
        d.limits_->on_sent(t.digest_, now_);
        on_arrival(number, t);
        answers_.push_back(
            {number, i, d.life_,
             t.limit_.per_second_ > 0 ? std::optional{t.limit_} : std::nullopt,
             now_, now_ + answer_time});
    }
}

void simulated_limits::on_arrival(std::size_t from, simulated_target& t)
{
    auto const& d = daemons_[from];
    if (t.limit_.per_second_ == 0 ||
        now_ < t.limited_at_ + settings_.stable_window_)
    {
        return;
    }
    ++checked_;
    if (now_ < d.disturbed_at_ + settings_.stable_window_)
    {
        return;
    }
    t.arrivals_.push_back(now_);
    while (t.arrivals_.front() <= now_ - window)
    {
        t.arrivals_.pop_front();
    }
    auto const most =
        window_factor * base::seconds(window) * t.limit_.per_second_ +
        window_slack;
    if (static_cast<double>(t.arrivals_.size()) > most && ++violations_ == 1)
    {
        first_violation_ = "a target with a limit of " +
                           std::to_string(t.limit_.per_second_) + " got " +
                           std::to_string(t.arrivals_.size()) +
                           " requests in 4 s at " +
                           std::to_string(base::seconds(now_ - at(0s))) + " s";
    }
}

} // namespace tanagerlead::routing::testing
