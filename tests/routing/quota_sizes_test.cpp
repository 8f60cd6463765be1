#include "src/routing/quota_limiter.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

base::workspace_id const shop{"shop"};
constexpr double rate = 29'000;
constexpr double slack = 110'000;
constexpr double mean_units = 3'000;
constexpr double overage = 0.1;
constexpr base::duration window = 8s;

std::vector<workspace> one_workspace()
{
    workspace w;
    w.id_ = shop;
    w.rate_ = rate;
    w.burst_ = rate;
    return {w};
}

/// Log-normal, as prompts are.
double draw_units(base::random_source& random)
{
    constexpr double sigma = 0.6;
    auto const radius = std::sqrt(-2 * std::log(1 - random.uniform()));
    auto const normal =
        radius * std::cos(2 * std::numbers::pi * random.uniform());
    return mean_units * std::exp(sigma * normal - sigma * sigma / 2);
}

struct demanded
{
    base::time_point at_;
    double units_ = 0;
    bool admitted_ = false;
};

/// A workspace that asks for `load` times its quota at `daemons` that hear of
/// each other's admissions `delay` later.
std::vector<demanded> play(std::size_t daemons, double load, double rank,
                           base::duration delay, std::uint64_t seed)
{
    struct usage
    {
        base::time_point due_;
        std::size_t from_ = 0;
        double units_ = 0;
    };
    base::random_source random{seed};
    std::vector<quota_limiter> fleet(daemons, quota_limiter{slack});
    for (auto& one : fleet)
    {
        one.configure(one_workspace(), at(0s));
    }
    std::deque<usage> reported;
    std::vector<demanded> out;
    auto const end = at(50s);
    auto now = at(0s);
    while (now < end)
    {
        now += base::from_seconds(-std::log(1 - random.uniform()) * mean_units /
                                  (load * rate));
        while (!reported.empty() && reported.front().due_ <= now)
        {
            auto const& r = reported.front();
            for (std::size_t to = 0; to < daemons; ++to)
            {
                if (to != r.from_)
                {
                    fleet[to].on_peer_usage(shop, r.units_, now);
                }
            }
            reported.pop_front();
        }
        auto const d = random.below(daemons);
        demanded asked{now, draw_units(random), false};
        asked.admitted_ = fleet[d].admit(shop, {asked.units_, rank}, now);
        if (asked.admitted_)
        {
            reported.push_back({now + delay, d, asked.units_});
        }
        out.push_back(asked);
    }
    return out;
}

double admitted_fraction(std::vector<demanded> const& asked)
{
    auto const admitted =
        std::count_if(asked.begin(), asked.end(),
                      [](demanded const& d) { return d.admitted_; });
    return static_cast<double>(admitted) / static_cast<double>(asked.size());
}

std::vector<demanded> largest_tenth(std::vector<demanded> asked)
{
    std::sort(asked.begin(), asked.end(),
              [](demanded const& a, demanded const& b)
              { return a.units_ > b.units_; });
    asked.resize(asked.size() / 10);
    return asked;
}

/// The most units that were admitted within one window.
double most_in_window(std::vector<demanded> const& asked)
{
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (auto const& d : asked)
    {
        sum += d.admitted_ ? d.units_ : 0;
        while (asked[first].at_ + window < d.at_)
        {
            sum -= asked[first].admitted_ ? asked[first].units_ : 0;
            ++first;
        }
        most = std::max(most, sum);
    }
    return most;
}

} // namespace

TEST_GROUP(quota_sizes){};

TEST(quota_sizes, large_requests_are_admitted_half_as_often_as_all_at_least)
{
    for (auto const rank : {0.0, 0.5, 1.0})
    {
        for (auto const load : {1.2, 1.5, 2.0, 3.0})
        {
            for (auto const daemons : {1U, 7U, 100U})
            {
                auto const asked = play(daemons, load, rank, 100ms, 1);
                CHECK(admitted_fraction(largest_tenth(asked)) >=
                      0.5 * admitted_fraction(asked));
            }
        }
    }
}

TEST(quota_sizes, sum_over_the_fleet_keeps_the_quota)
{
    auto const bound =
        (rate * base::seconds(window) + rate) * (1 + overage) + slack;
    for (auto const daemons : {7U, 75U, 295U, 400U})
    {
        for (auto const load : {1.2, 3.0, 7.5})
        {
            for (std::uint64_t seed = 1; seed <= 3; ++seed)
            {
                auto const asked = play(daemons, load, 0, 400ms, seed);
                CHECK(most_in_window(asked) <= bound);
            }
        }
    }
}

// A bucket in debt must not hold back what the workspace may spend.
TEST(quota_sizes, scarce_quota_is_spent)
{
    for (auto const daemons : {7U, 100U})
    {
        auto const asked = play(daemons, 2.0, 1, 100ms, 1);
        double spent = 0;
        for (auto const& d : asked)
        {
            spent += d.admitted_ ? d.units_ : 0;
        }
        CHECK(spent >= 0.95 * rate * 50);
    }
}
