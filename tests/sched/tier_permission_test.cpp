#include "src/base/random.hpp"
#include "src/sched/tier_permission.hpp"
#include "tests/sched/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace tanagerlead;
using namespace tanagerlead::sched;
using namespace tanagerlead::sched::testing;

namespace
{

/// Owners that exchange notices over a network with loss and delay.
class owner_network
{
public:
    owner_network(int count, std::uint64_t seed) : random_{seed}
    {
        std::vector<tier_peer> all;
        all.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
        {
            all.push_back({base::cell_id{"c" + std::to_string(i)}, 10U + i});
        }
        for (auto const& owner : all)
        {
            owners_.emplace_back(base::pool_id{"report"}, owner);
            owners_.back().set_peers(all, now_);
        }
        silent_.resize(owners_.size());
    }

    tier_permission& at(std::size_t i) { return owners_.at(i); }
    base::time_point now() const { return now_; }

    void step(base::duration by)
    {
        now_ += by;
        for (std::size_t i = 0; i < owners_.size(); ++i)
        {
            if (auto const notice = owners_[i].next_notice(now_))
            {
                send(i, *notice);
            }
        }
        while (!in_transit_.empty() && in_transit_.begin()->first <= now_)
        {
            auto const [to, notice] = in_transit_.begin()->second;
            in_transit_.erase(in_transit_.begin());
            owners_.at(to).receive(notice, now_);
        }
    }

    void run(base::duration length)
    {
        for (auto const end = now_ + length; now_ < end;)
        {
            step(10ms);
        }
    }

    double loss_ = 0;
    base::duration max_delay_ = 5ms;
    /// Owners whose notices are all lost.
    std::vector<bool> silent_;

private:
    void send(std::size_t from, tier_notice const& notice)
    {
        for (std::size_t to = 0; to < owners_.size(); ++to)
        {
            if (to != from && !silent_.at(from) && random_.uniform() >= loss_)
            {
                auto const delay = base::from_seconds(
                    base::seconds(max_delay_) * random_.uniform());
                in_transit_.emplace(now_ + delay, std::pair{to, notice});
            }
        }
    }

    base::random_source random_;
    base::time_point now_{};
    std::vector<tier_permission> owners_;
    std::multimap<base::time_point, std::pair<std::size_t, tier_notice>>
        in_transit_;
};

constexpr base::tier lowest{base::max_tiers - 1};

} // namespace

TEST_GROUP(tier_permission){};

TEST(tier_permission, all_tiers_are_served_once_every_owner_has_sent_notices)
{
    owner_network three{3, 1};
    CHECK(three.at(0).lowest_served(three.now()) == base::tier{0});
    three.run(1s);
    for (std::size_t i = 0; i < 3; ++i)
    {
        CHECK(three.at(i).lowest_served(three.now()) == lowest);
    }
}

TEST(tier_permission, a_single_owner_needs_no_permission)
{
    owner_network one{1, 1};
    CHECK(one.at(0).lowest_served(one.now()) == lowest);
    CHECK(one.at(0).may_shed(base::tier{0}, one.now()));
}

TEST(tier_permission, pressure_stops_lower_tiers_elsewhere_then_sheds)
{
    owner_network two{2, 1};
    two.run(1s);
    two.at(0).set_pressure(base::tier{1}, two.now());
    CHECK_FALSE(two.at(0).may_shed(base::tier{1}, two.now()));
    two.run(300ms);
    CHECK(two.at(1).lowest_served(two.now()) == base::tier{1});
    two.run(2s);
    CHECK(two.at(0).may_shed(base::tier{1}, two.now()));
    CHECK_FALSE(two.at(0).may_shed(base::tier{0}, two.now()));
    two.at(0).set_pressure(std::nullopt, two.now());
    CHECK_FALSE(two.at(0).may_shed(base::tier{1}, two.now()));
    two.run(1s);
    CHECK(two.at(1).lowest_served(two.now()) == lowest);
}

TEST(tier_permission,
     an_owner_that_receives_no_notices_serves_only_the_highest_tier)
{
    owner_network three{3, 1};
    three.run(1s);
    three.silent_ = {true, true, false};
    three.run(2s);
    CHECK(three.at(2).lowest_served(three.now()) == base::tier{0});
    CHECK_FALSE(three.at(2).may_shed(base::tier{0}, three.now()));
}

TEST(tier_permission, old_or_foreign_notices_change_nothing)
{
    owner_network two{2, 1};
    two.run(1s);
    tier_notice forged{base::pool_id{"report"},
                       {base::cell_id{"c1"}, 99},
                       1000,
                       base::tier{0},
                       {}};
    two.at(0).receive(forged, two.now());
    forged.owner_.origin_ = 11;
    forged.sequence_ = 1;
    two.at(0).receive(forged, two.now());
    CHECK(two.at(0).lowest_served(two.now()) == lowest);
}

TEST(tier_permission, no_tier_is_shed_while_a_lower_one_is_served)
{
    int sheds = 0;
    int lower_served = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        base::random_source random{seed};
        owner_network network{static_cast<int>(2 + seed % 2), seed};
        network.loss_ = 0.5 * random.uniform();
        network.max_delay_ = base::from_seconds(3 * random.uniform());
        for (int i = 0; i < 1000; ++i)
        {
            if (random.below(100) == 0)
            {
                auto const owner = random.below(2);
                auto const t = random.below(3);
                network.at(owner).set_pressure(
                    t == 2 ? std::nullopt : std::optional{base::tier(t)},
                    network.now());
                network.silent_.at(owner) = random.below(8) == 0;
            }
            network.step(20ms);
            for (auto const t : {base::tier{0}, base::tier{1}})
            {
                auto const shed = network.at(0).may_shed(t, network.now()) ||
                                  network.at(1).may_shed(t, network.now());
                sheds += shed ? 1 : 0;
                for (std::size_t o = 0; o < 2 + seed % 2; ++o)
                {
                    auto const served =
                        network.at(o).lowest_served(network.now());
                    lower_served += served > t ? 1 : 0;
                    CHECK(!shed || served <= t);
                }
            }
        }
    }
    CHECK(sheds > 1000);
    CHECK(lower_served > 1000);
}
