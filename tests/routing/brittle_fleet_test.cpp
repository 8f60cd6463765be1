#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

constexpr int target_count = 12;
constexpr int slots = 6;

/// Daemons that hear nothing of each other's requests, as if all reports were
/// lost or late, and know who belongs to the fleet.
class deaf_fleet
{
public:
    explicit deaf_fleet(std::size_t daemons)
    {
        std::vector<peer_ip> all;
        for (std::uint32_t i = 0; i < daemons; ++i)
        {
            all.push_back(peer_ip{i});
        }
        for (int t = 0; t < target_count; ++t)
        {
            targets_.push_back(target("t" + std::to_string(t), slots));
        }
        for (auto const self : all)
        {
            dispatchers_.push_back(std::make_unique<dispatcher>(
                dispatcher::settings{base::data_centre_id{"near"},
                                     static_cast<std::uint64_t>(self), self},
                peers_));
            dispatchers_.back()->set_fleet(all, at(0s));
            dispatchers_.back()->set_targets(targets_);
        }
    }

    /// One daemon hears it from the targets, the others from its reports, which
    /// come late and twice.
    void make_brittle(request_rate max_rejections = request_rate{3})
    {
        for (auto const& t : targets_)
        {
            dispatchers_.front()->on_brittle(t, max_rejections, at(1s), at(1s));
        }
        peer_report report;
        dispatchers_.front()->report_usage(report, at(1100ms));
        for (auto const& d : dispatchers_)
        {
            for (int copy = 0; copy < 2; ++copy)
            {
                d->on_brittle_reported(report, at(2s));
            }
        }
    }

    /// All targets fall over and are back under new ids.
    void replace_targets()
    {
        for (auto& t : targets_)
        {
            t.id_ = base::target_id{t.id_.str() + "-again"};
        }
        for (auto const& d : dispatchers_)
        {
            d->set_targets({});
            d->set_targets(targets_);
        }
    }

    /// All targets turn all requests away, and each daemon gets two requests
    /// every 10 ms. Returns the most rejections by one target in a second.
    std::size_t most_rejections(base::duration length)
    {
        std::map<base::target_id, std::deque<base::time_point>> rejections;
        std::size_t most = 0;
        std::uint64_t number = 0;
        for (auto now = at(3s); now < at(3s) + length; now += 10ms)
        {
            for (auto const& d : dispatchers_)
            {
                for (int i = 0; i < 2; ++i)
                {
                    auto request = call(++number);
                    request.work_.deadline_ = now + 500ms;
                    d->submit(request, now);
                }
                std::vector<sched::action> actions;
                d->advance(now, actions);
                for (auto const& action : actions)
                {
                    auto const* const g = std::get_if<sched::grant>(&action);
                    if (g == nullptr)
                    {
                        continue;
                    }
                    auto& recent = rejections[g->target_];
                    recent.push_back(now);
                    while (recent.front() <= now - 1s)
                    {
                        recent.pop_front();
                    }
                    most = std::max(most, recent.size());
                    d->on_attempt_end(g->request_, attempt_outcome::rejected,
                                      now);
                }
            }
        }
        return most;
    }

    /// More requests than the targets have slots. Returns how many each target
    /// gets.
    std::map<std::string, int> flood()
    {
        std::map<std::string, int> out;
        std::uint64_t number = 0;
        for (auto const& d : dispatchers_)
        {
            for (int i = 0; i < 2 * target_count * slots; ++i)
            {
                auto request = call(++number);
                request.urgent_ = true;
                d->submit(request, at(3s));
            }
            std::vector<sched::action> actions;
            d->advance(at(3s), actions);
            for (auto const& action : actions)
            {
                if (auto const* const g = std::get_if<sched::grant>(&action))
                {
                    ++out[g->target_.str()];
                }
            }
        }
        return out;
    }

private:
    peer_table peers_;
    std::vector<target_info> targets_;
    std::vector<std::unique_ptr<dispatcher>> dispatchers_;
};

} // namespace

TEST_GROUP(brittle_fleet){};

TEST(brittle_fleet, never_overfills_a_target)
{
    for (std::size_t const daemons : {1, 7, 75, 295})
    {
        deaf_fleet fleet{daemons};
        fleet.make_brittle();
        auto const sent = fleet.flood();
        LONGS_EQUAL(target_count, sent.size());
        for (auto const& [target, count] : sent)
        {
            CHECK_TEXT(count <= slots, target.c_str());
            CHECK_TEXT(2 * count >= slots, target.c_str());
        }
    }
}

TEST(brittle_fleet, never_overfills_a_target_that_is_back_after_a_fall)
{
    for (std::size_t const daemons : {1, 7, 75, 295})
    {
        deaf_fleet fleet{daemons};
        fleet.make_brittle();
        fleet.replace_targets();
        auto const sent = fleet.flood();
        LONGS_EQUAL(target_count, sent.size());
        for (auto const& [target, count] : sent)
        {
            CHECK_TEXT(count <= slots, target.c_str());
            CHECK_TEXT(2 * count >= slots, target.c_str());
        }
    }
}

TEST(brittle_fleet, is_turned_away_no_more_often_than_a_target_stands)
{
    for (std::size_t const daemons : {1, 7, 75, 295})
    {
        deaf_fleet fleet{daemons};
        fleet.make_brittle(request_rate{slots});
        auto const most = fleet.most_rejections(daemons < 100 ? 6s : 2s);
        CHECK(most > 0);
        CHECK_TEXT(most <= slots, std::to_string(most).c_str());
    }
}

TEST(brittle_fleet, a_new_target_is_not_brittle_once_another_is_no_more)
{
    peer_table const peers;
    dispatcher d{{base::data_centre_id{"near"}, 1, peer_ip{1}}, peers};
    d.set_fleet({peer_ip{1}}, at(0s));
    d.set_targets({target("a"), target("b", 1, "other")});
    d.on_brittle(target("a"), request_rate{3}, at(1s), at(1s));
    d.set_targets({target("a"), target("b", 1, "other"), target("c")});
    CHECK(d.is_brittle(target("c")));
    CHECK(!d.is_brittle(target("b", 1, "other")));
    // The answer to an earlier request says nothing new.
    d.on_brittle(target("c"), std::nullopt, at(500ms), at(2s));
    CHECK(d.is_brittle(target("c")));
    d.on_brittle(target("a"), std::nullopt, at(2s), at(2s));
    d.set_targets({target("a"), target("d")});
    CHECK(!d.is_brittle(target("a")));
    CHECK(!d.is_brittle(target("d")));
}

TEST(brittle_fleet, a_statement_ages_while_daemons_report_it_to_each_other)
{
    peer_table const peers;
    dispatcher one{{base::data_centre_id{"near"}, 1, peer_ip{1}}, peers};
    dispatcher other{{base::data_centre_id{"near"}, 2, peer_ip{2}}, peers};
    std::vector<peer_ip> const all{peer_ip{1}, peer_ip{2}};
    one.set_targets({target("a")});
    one.on_brittle(target("a"), request_rate{3}, at(1s), at(1s));
    auto const end = at(1s) + target_limits::retention;
    for (auto now = at(1s); now < end + 1s; now += 200ms)
    {
        for (auto* const from : {&one, &other})
        {
            from->set_fleet(all, now);
            peer_report report;
            from->report_usage(report, now);
            (from == &one ? other : one)
                .on_brittle_reported(report, now + 100ms);
        }
    }
    for (auto* const d : {&one, &other})
    {
        d->set_fleet(all, end + 3s);
        d->set_targets({target("b")});
        CHECK(!d->is_brittle(target("b")));
    }
}

// A slot that two daemons use in turn is full for both when they use it at
// once.
TEST(brittle_fleet, a_daemon_without_a_slot_names_one_that_has_it)
{
    std::vector<peer_ip> const all{peer_ip{1}, peer_ip{2}, peer_ip{3}};
    auto const t = target("t0");
    peer_table const peers;
    std::map<peer_ip, std::optional<peer_ip>> owners;
    for (auto const self : all)
    {
        dispatcher d{{base::data_centre_id{"near"}, 1, self}, peers};
        d.set_fleet(all, at(0s));
        d.set_targets({t});
        CHECK(!d.find_slot_owner(t.pool_));
        d.on_brittle(t, request_rate{3}, at(1s), at(1s));
        owners[self] = d.find_slot_owner(t.pool_);
        LONGS_EQUAL(owners[self] ? 0 : 1,
                    d.find_free_slot(call(1), at(2s)) == nullptr ? 0 : 1);
    }
    auto const without = std::count_if(owners.begin(), owners.end(),
                                       [](auto const& entry)
                                       { return entry.second.has_value(); });
    LONGS_EQUAL(2, without);
    for (auto const& [self, owner] : owners)
    {
        CHECK(!owner || !owners.at(*owner));
    }
}
