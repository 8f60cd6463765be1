#include "src/rollout/evidence.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerlead::rollout
{

namespace
{

/// Routes that are compared on their own; the rest count as one.
constexpr std::size_t max_routes = 16;
constexpr route_digest other_routes = 0;

/// An answer is slow above this multiple of the old version's upper latencies.
constexpr double slow_factor = 1.5;
constexpr double latency_quantile = 0.95;
/// Relative step of the running quantile.
constexpr double quantile_step = 0.05;
constexpr int min_latency_samples = 20;

/// Answers of the old version without which nothing is compared.
constexpr double min_recent = 30;
/// Above this many, older answers of the old version fade.
constexpr double max_recent = 2000;
constexpr double min_batch = 20;
/// The old version's rate of bad answers is taken to be at least this.
constexpr double min_rate = 0.01;
constexpr double max_rate = 0.9;
/// Smallest difference of rates that counts as bad.
constexpr double min_difference = 0.05;

/// A good version raises a false alarm with about this probability in as many
/// answers on all routes; each answer is one more chance.
constexpr double false_alarm_rate = 0.001;
constexpr double answers_on_trial = 20'000;
/// A bad version is accepted with at most about this probability.
constexpr double missed_alarm_rate = 0.01;
constexpr std::uint64_t min_answers = 100;
/// A route with at least this part of the answers must be accepted itself.
constexpr double main_route_share = 0.1;

double alarm_bound()
{
    return std::log(answers_on_trial / false_alarm_rate);
}

/// Upper estimate, so that few answers of the old version blame nobody.
double upper_rate(double bad, double answers)
{
    auto const rate = (bad + 1) / (answers + 2);
    return rate + std::sqrt(rate * (1 - rate) / (answers + 2));
}

std::uint64_t rise(std::uint64_t from, std::uint64_t to)
{
    return to > from ? to - from : 0;
}

/// Raises `known` to `reported` and adds the difference to `pending`.
void raise(answer_counts& known, answer_counts const& reported,
           answer_counts& pending)
{
    pending.answers_ += rise(known.answers_, reported.answers_);
    pending.bad_ += rise(known.bad_, reported.bad_);
    known.answers_ = std::max(known.answers_, reported.answers_);
    known.bad_ = std::max(known.bad_, reported.bad_);
}

} // namespace

bool evidence::is_slow(route_digest route, arm version, base::duration latency)
{
    auto& bound = latencies_[route];
    auto const value = base::seconds(latency);
    bool const known = bound.samples_ >= min_latency_samples;
    bool const slow = known && value > slow_factor * bound.seconds_;
    if (version == arm::before)
    {
        if (!known)
        {
            // The largest of the first samples is near the quantile.
            bound.seconds_ = std::max(bound.seconds_, value);
            ++bound.samples_;
        }
        else
        {
            bound.seconds_ *= value > bound.seconds_
                                  ? 1 + quantile_step * latency_quantile
                                  : 1 - quantile_step * (1 - latency_quantile);
        }
    }
    return slow;
}

void evidence::on_answer(route_digest route, arm version, bool failed,
                         base::duration latency)
{
    if (own_.routes_.size() >= max_routes && !own_.routes_.contains(route))
    {
        route = other_routes;
    }
    bool const bad = failed || is_slow(route, version, latency);
    auto const add = [&](route_counts& counts)
    {
        auto& c = version == arm::before ? counts.before_ : counts.after_;
        ++c.answers_;
        c.bad_ += bad ? 1 : 0;
    };
    add(own_.routes_[route]);
    add(tests_[route].pending_);
}

void evidence::merge(base::daemon_id const& peer, base::incarnation life,
                     std::map<route_digest, route_counts> const& routes)
{
    auto& known = peers_[peer];
    if (life < known.life_)
    {
        return;
    }
    if (life > known.life_)
    {
        // The answers of the earlier life have been counted.
        known = {life, {}};
    }
    for (auto const& [route, counts] : routes)
    {
        auto& mine = known.routes_[route];
        auto& pending = tests_[route].pending_;
        raise(mine.before_, counts.before_, pending.before_);
        raise(mine.after_, counts.after_, pending.after_);
    }
}

void evidence::evaluate(test_state& test)
{
    auto& [before, after] = test.pending_;
    test.total_.before_.answers_ += before.answers_;
    test.total_.before_.bad_ += before.bad_;
    test.recent_answers_ += static_cast<double>(before.answers_);
    test.recent_bad_ += static_cast<double>(before.bad_);
    if (test.recent_answers_ > max_recent)
    {
        auto const kept = max_recent / test.recent_answers_;
        test.recent_answers_ *= kept;
        test.recent_bad_ *= kept;
    }
    auto rate = upper_rate(test.recent_bad_, test.recent_answers_);
    // What happens to all versions at this moment is not the new one's fault.
    if (static_cast<double>(before.answers_) >= min_batch)
    {
        rate = std::max(rate, upper_rate(static_cast<double>(before.bad_),
                                         static_cast<double>(before.answers_)));
    }
    before = {};
    if (test.recent_answers_ < min_recent)
    {
        return;
    }
    rate = std::clamp(rate, min_rate, max_rate);
    auto const bad_rate =
        std::min(rate + std::max(min_difference, rate), (1 + rate) / 2);
    auto const bad = static_cast<double>(after.bad_);
    // A late report may raise one count before the other.
    auto const good = static_cast<double>(rise(after.bad_, after.answers_));
    auto const step = bad * std::log(bad_rate / rate) +
                      good * std::log((1 - bad_rate) / (1 - rate));
    test.total_.after_.answers_ += after.answers_;
    test.total_.after_.bad_ += after.bad_;
    after = {};
    test.cusum_ = std::max(0.0, test.cusum_ + step);
    test.ratio_ += step;
    alarm_ = alarm_ || test.cusum_ >= alarm_bound();
}

void evidence::evaluate()
{
    for (auto& [route, test] : tests_)
    {
        evaluate(test);
    }
}

bool evidence::accepted() const
{
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (auto const& [route, test] : tests_)
    {
        before += test.total_.before_.answers_;
        after += test.total_.after_.answers_;
    }
    if (alarm_ || after < min_answers)
    {
        return false;
    }
    return std::all_of(
        tests_.begin(), tests_.end(),
        [&](auto const& entry)
        {
            auto const& test = entry.second;
            // A sum that has begun to rise waits for what it becomes.
            if (test.cusum_ > alarm_bound() / 2)
            {
                return false;
            }
            auto const share =
                static_cast<double>(test.total_.before_.answers_) /
                static_cast<double>(std::max<std::uint64_t>(before, 1));
            return share < main_route_share ||
                   test.ratio_ <= std::log(missed_alarm_rate);
        });
}

std::uint64_t evidence::bad_after() const
{
    std::uint64_t bad = 0;
    for (auto const& [route, test] : tests_)
    {
        bad += test.total_.after_.bad_ + test.pending_.after_.bad_;
    }
    return bad;
}

} // namespace tanagerlead::rollout
