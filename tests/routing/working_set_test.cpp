#include "src/routing/working_set.hpp"
#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

/// Daemons of one fleet that decide their roles from each other's reports, in
/// virtual time. Reports are lost and delayed at random.
class simulated_fleet
{
public:
    simulated_fleet(std::size_t data_centres, std::size_t daemons_each,
                    std::uint64_t seed)
        : random_{seed}
    {
        for (std::size_t i = 0; i < data_centres * daemons_each; ++i)
        {
            daemons_.push_back(std::make_unique<simulated_daemon>(
                peer_ip{static_cast<std::uint32_t>(1000 + 7 * i)},
                i % data_centres));
        }
        std::vector<peer_ip> all;
        for (auto const& d : daemons_)
        {
            all.push_back(d->ip_);
        }
        for (auto const& d : daemons_)
        {
            auto others = all;
            std::erase(others, d->ip_);
            d->table_.on_listed(others, now());
        }
    }

    /// Fraction of the reports that do not arrive.
    double loss_ = 0.0;

    void run(base::duration time)
    {
        for (auto const end = now_ + time; now_ < end; now_ += step)
        {
            deliver();
            for (auto const& d : daemons_)
            {
                if (!d->is_alive_)
                {
                    continue;
                }
                decide(*d);
                send_reports(*d);
            }
        }
    }

    void kill(std::size_t daemon) { daemons_.at(daemon)->is_alive_ = false; }
    void start(std::size_t daemon)
    {
        auto& d = *daemons_.at(daemon);
        d.is_alive_ = true;
        ++d.incarnation_;
        d.number_ = 0;
    }
    void request(std::size_t daemon)
    {
        daemons_.at(daemon)->set_.on_request(now());
    }
    bool is_alive(std::size_t daemon) const
    {
        return daemons_.at(daemon)->is_alive_;
    }
    daemon_role role(std::size_t daemon) const
    {
        return daemons_.at(daemon)->role_;
    }
    std::size_t size() const { return daemons_.size(); }
    std::size_t data_centre(std::size_t daemon) const
    {
        return daemons_.at(daemon)->data_centre_;
    }

    std::size_t alive(std::optional<std::size_t> data_centre) const
    {
        return static_cast<std::size_t>(std::count_if(
            daemons_.begin(), daemons_.end(),
            [data_centre](auto const& d)
            {
                return d->is_alive_ &&
                       d->data_centre_ == data_centre.value_or(d->data_centre_);
            }));
    }
    std::size_t serving(std::size_t data_centre) const
    {
        return static_cast<std::size_t>(std::count_if(
            daemons_.begin(), daemons_.end(),
            [data_centre](auto const& d)
            {
                return d->is_alive_ && d->data_centre_ == data_centre &&
                       d->role_ == daemon_role::serving;
            }));
    }

private:
    static constexpr base::duration step = 50ms;

    struct simulated_daemon
    {
        simulated_daemon(peer_ip ip, std::size_t data_centre)
            : ip_{ip}, data_centre_{data_centre}, set_{ip}
        {
        }

        peer_ip ip_;
        std::size_t data_centre_;
        working_set set_;
        peer_table table_;
        bool is_alive_ = true;
        daemon_role role_ = daemon_role::serving;
        std::uint64_t incarnation_ = 1;
        std::uint32_t number_ = 0;
        base::time_point sent_here_{};
        base::time_point sent_elsewhere_{};
    };

    struct message
    {
        std::size_t to_;
        peer_ip from_;
        peer_report report_;
    };

    base::time_point now() const { return at(now_); }

    void decide(simulated_daemon& d)
    {
        d.table_.refresh(now());
        auto const here = digest_of(std::to_string(d.data_centre_));
        auto const role = d.set_.decide(view_of(d.table_, here, now()), now());
        if (role != d.role_)
        {
            d.sent_here_ = {};
            d.sent_elsewhere_ = {};
        }
        d.role_ = role;
    }

    void send_reports(simulated_daemon& d)
    {
        auto const is_standby = d.role_ == daemon_role::standby;
        base::duration const pace_here = is_standby ? 2s : 300ms;
        base::duration const pace_elsewhere = is_standby ? 5s : 1s;
        auto const is_here_due = now() - d.sent_here_ >= pace_here;
        auto const is_elsewhere_due =
            now() - d.sent_elsewhere_ >= pace_elsewhere;
        d.sent_here_ = is_here_due ? now() : d.sent_here_;
        d.sent_elsewhere_ = is_elsewhere_due ? now() : d.sent_elsewhere_;
        if (!is_here_due && !is_elsewhere_due)
        {
            return;
        }
        peer_report out;
        out.incarnation_ = d.incarnation_;
        out.sequence_number_ = ++d.number_;
        out.state_ = daemon_state::ready;
        out.role_ = d.role_;
        out.data_centre_ = digest_of(std::to_string(d.data_centre_));
        for (std::size_t i = 0; i < daemons_.size(); ++i)
        {
            auto const is_here = daemons_[i]->data_centre_ == d.data_centre_;
            if (daemons_[i]->ip_ == d.ip_ ||
                !(is_here ? is_here_due : is_elsewhere_due) ||
                std::uniform_real_distribution{}(random_) < loss_)
            {
                continue;
            }
            out.interval_ms_ = static_cast<std::uint16_t>(
                base::milliseconds(is_here ? pace_here : pace_elsewhere));
            base::duration const delay = std::chrono::milliseconds{
                std::uniform_int_distribution{1, 90}(random_)};
            messages_.emplace(now() + delay, message{i, d.ip_, out});
        }
    }

    void deliver()
    {
        auto const due = messages_.upper_bound(now());
        for (auto m = messages_.begin(); m != due; ++m)
        {
            auto const& [to, from, report] = m->second;
            if (daemons_.at(to)->is_alive_)
            {
                daemons_.at(to)->table_.on_report(from, report, now());
            }
        }
        messages_.erase(messages_.begin(), due);
    }

    std::mt19937_64 random_;
    base::duration now_{};
    std::vector<std::unique_ptr<simulated_daemon>> daemons_;
    std::multimap<base::time_point, message> messages_;
};

constexpr std::size_t data_centres = 5;
constexpr std::size_t share = working_set::max_serving / data_centres;

} // namespace

TEST_GROUP(working_set){};

TEST(working_set, all_daemons_of_a_small_fleet_serve)
{
    simulated_fleet fleet{4, working_set::max_small_fleet / 4, 1};
    fleet.run(10s);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        CHECK(fleet.role(i) == daemon_role::serving);
    }
}

TEST(working_set, is_divided_among_the_data_centres)
{
    simulated_fleet fleet{data_centres, 59, 2};
    fleet.run(6s);
    std::size_t standby = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        standby += fleet.role(i) == daemon_role::standby ? 1 : 0;
    }
    for (std::size_t d = 0; d < data_centres; ++d)
    {
        LONGS_EQUAL(share, fleet.serving(d));
    }
    LONGS_EQUAL(fleet.size() - working_set::max_serving, standby);
}

TEST(working_set, serves_where_it_hears_of_too_few_that_do)
{
    // Those above it in the ranking may have died with the working set.
    working_set::fleet_view fleet;
    fleet.known_ = 299;
    fleet.known_here_ = 59;
    for (std::uint32_t i = 1; i <= fleet.known_here_; ++i)
    {
        fleet.ready_here_.push_back(peer_ip{i});
    }
    auto const wanted = serving_count(60, 300);
    std::size_t standby = 0;
    for (std::uint32_t i = 1000; i < 1100; ++i)
    {
        working_set set{peer_ip{i}};
        fleet.serving_here_ = wanted;
        if (set.decide(fleet, at(0s)) != daemon_role::standby)
        {
            continue;
        }
        ++standby;
        fleet.serving_here_ = wanted / 2 - 1;
        CHECK(set.decide(fleet, at(0s)) == daemon_role::serving);
    }
    CHECK(standby > 0);
}

TEST(working_set, a_request_ends_the_standby_for_a_while)
{
    simulated_fleet fleet{data_centres, 30, 3};
    fleet.run(6s);
    std::size_t daemon = 0;
    while (fleet.role(daemon) != daemon_role::standby)
    {
        ++daemon;
    }
    fleet.request(daemon);
    fleet.run(1s);
    CHECK(fleet.role(daemon) == daemon_role::active);
    fleet.run(working_set::busy_linger + working_set::linger_spread);
    CHECK(fleet.role(daemon) == daemon_role::standby);
}

TEST(working_set, others_take_the_place_of_daemons_that_die)
{
    simulated_fleet fleet{data_centres, 40, 4};
    fleet.loss_ = 0.05;
    fleet.run(6s);
    // The whole working set of one data centre and half of the others.
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        auto const is_serving = fleet.role(i) == daemon_role::serving;
        if (fleet.data_centre(i) == 0 ? is_serving : i % 2 == 0)
        {
            fleet.kill(i);
        }
    }
    fleet.run(1s);
    for (std::size_t d = 0; d < data_centres; ++d)
    {
        CHECK(fleet.serving(d) >= share / 3);
    }
    CHECK(fleet.serving(0) >= share);
    fleet.run(12s);
    for (std::size_t d = 0; d < data_centres; ++d)
    {
        auto const wanted =
            serving_count(fleet.alive(d), fleet.alive(std::nullopt));
        CHECK(fleet.serving(d) >= wanted);
        CHECK(fleet.serving(d) <= wanted + 4);
    }
}

TEST(working_set, never_lacks_serving_daemons_for_long)
{
    for (std::uint64_t seed = 10; seed < 13; ++seed)
    {
        std::mt19937_64 random{seed};
        simulated_fleet fleet{data_centres, 30, seed};
        fleet.loss_ = 0.1;
        fleet.run(5s);
        for (int round = 0; round < 6; ++round)
        {
            auto const fraction = std::uniform_real_distribution{}(random);
            for (std::size_t i = 0; i < fleet.size(); ++i)
            {
                if (!fleet.is_alive(i))
                {
                    fleet.start(i);
                }
                else if (i >= data_centres &&
                         std::uniform_real_distribution{}(random) < fraction)
                {
                    fleet.kill(i);
                }
            }
            fleet.run(1s);
            for (std::size_t d = 0; d < data_centres; ++d)
            {
                CHECK(fleet.serving(d) >= 1);
            }
            fleet.run(2s);
        }
    }
}
