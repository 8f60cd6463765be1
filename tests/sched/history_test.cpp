#include "src/base/random.hpp"
#include "src/sched/shed_gate.hpp"
#include "tests/sched/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <map>
#include <set>

using namespace tanagerlead;
using namespace tanagerlead::sched;
using namespace tanagerlead::sched::testing;

namespace
{

/// Sends random events to a scheduler and checks every decision.
class random_history
{
public:
    random_history(char const* policy, std::uint64_t seed)
        : random_{seed}, checks_tiers_{std::string{policy} == "tanagerlead"}
    {
        settings_ = cell(3, 2);
        settings_.seed_ = seed;
        for (auto& t : settings_.tiers_)
        {
            t.longest_wait_ = 2s;
        }
        scheduler_ = make_scheduler(policy);
        scheduler_->configure(settings_);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            now_ += base::from_seconds(0.05 * random_.uniform());
            random_step();
            if (random_.below(3) != 0 || scheduler_->next_wakeup() <= now_)
            {
                advance_and_check();
            }
        }
    }

private:
    struct shed_or_grant
    {
        base::tier tier_;
        base::time_point at_;
    };

    void random_step()
    {
        using step = void (random_history::*)();
        static constexpr std::array<step, 16> steps{
            &random_history::enqueue,  &random_history::enqueue,
            &random_history::enqueue,  &random_history::enqueue,
            &random_history::enqueue,  &random_history::enqueue,
            &random_history::progress, &random_history::progress,
            &random_history::progress, &random_history::progress,
            &random_history::progress, &random_history::withdraw,
            &random_history::leave,    &random_history::permit,
            &random_history::adopt,    &random_history::reconfigure};
        (this->*steps[random_.below(steps.size())])();
    }

    work_item new_item()
    {
        auto i = item(++number_, "w" + std::to_string(random_.below(5)),
                      static_cast<int>(random_.below(3)), now_);
        i.fingerprint_ = 1 + random_.below(50);
        i.max_output_tokens_ =
            static_cast<base::token_count>(1 + random_.below(400));
        if (random_.below(4) == 0)
        {
            i.deadline_ = now_ + base::from_seconds(3 * random_.uniform());
        }
        for (std::uint64_t b = 0; b < random_.below(5); ++b)
        {
            i.prefix_.push_back(i.fingerprint_ * 100 + b);
        }
        return i;
    }

    void enqueue()
    {
        auto const count = random_.below(6);
        for (std::uint64_t n = 0; n < count; ++n)
        {
            auto const i = new_item();
            scheduler_->enqueue(i, now_);
            waiting_[i.request_.sequence_] = i.tier_;
            if (random_.below(5) == 0)
            {
                scheduler_->enqueue(i, now_);
            }
        }
    }

    void progress()
    {
        if (running_.empty())
        {
            return;
        }
        auto const place = std::next(
            running_.begin(),
            static_cast<std::ptrdiff_t>(random_.below(running_.size())));
        auto const event = static_cast<dispatch_event>(random_.below(8));
        scheduler_->report(report({{1, place->first}, {}, place->second}, event,
                                  base::from_seconds(0.01 + random_.uniform())),
                           now_);
        if (event != dispatch_event::started &&
            event != dispatch_event::first_token)
        {
            running_.erase(place);
        }
    }

    void withdraw()
    {
        if (!waiting_.empty())
        {
            auto const place = std::next(
                waiting_.begin(),
                static_cast<std::ptrdiff_t>(random_.below(waiting_.size())));
            scheduler_->withdraw({1, place->first}, now_);
            waiting_.erase(place);
        }
    }

    base::target_id random_target()
    {
        return base::target_id{"t" + std::to_string(random_.below(3))};
    }

    void leave()
    {
        auto const id = random_target();
        auto const leaving = random_.below(3) == 0;
        scheduler_->set_leaving(id, leaving, now_);
        if (leaving)
        {
            leaving_.insert(id.str());
        }
        else
        {
            leaving_.erase(id.str());
        }
    }

    void permit()
    {
        auto const lowest = base::tier(random_.below(4));
        scheduler_->permit_down_to(lowest, now_);
        lowest_permitted_ = lowest;
        highest_shed_ = base::tier(random_.below(2));
        scheduler_->permit_shed_from(highest_shed_, now_);
    }

    void adopt()
    {
        auto const i = new_item();
        auto const id = random_target();
        scheduler_->adopt(i, id, now_);
        running_[i.request_.sequence_] = id;
    }

    void reconfigure()
    {
        settings_.share_ = random_.below(2) == 0 ? 1.0 : 0.3;
        scheduler_->configure(settings_);
    }

    void advance_and_check()
    {
        auto const d = advance(*scheduler_, now_);
        for (auto const& r : d.refusals_)
        {
            LONGS_EQUAL(1, waiting_.count(r.request_.sequence_));
            CHECK(r.retry_after_ > 0s);
            if (r.cause_ == refusal_cause::overloaded)
            {
                auto const t = waiting_.at(r.request_.sequence_);
                CHECK(!checks_tiers_ || t >= highest_shed_ ||
                      t == base::tier{2});
                sheds_.push_back({t, now_});
            }
            waiting_.erase(r.request_.sequence_);
        }
        for (auto const& g : d.grants_)
        {
            LONGS_EQUAL(1, waiting_.count(g.request_.sequence_));
            CHECK(!leaving_.contains(g.target_.str()));
            auto const t = waiting_.at(g.request_.sequence_);
            CHECK(!checks_tiers_ || t <= lowest_permitted_);
            grants_.push_back({t, now_});
            waiting_.erase(g.request_.sequence_);
            running_[g.request_.sequence_] = g.target_;
        }
        LONGS_EQUAL(waiting_.size(), scheduler_->waiting());
        LONGS_EQUAL(running_.size(), scheduler_->in_flight());
        CHECK(scheduler_->next_wakeup() > now_);
        check_window();
    }

    void check_window()
    {
        for (auto const& s : sheds_)
        {
            for (auto const& g : grants_)
            {
                auto const apart =
                    s.at_ < g.at_ ? g.at_ - s.at_ : s.at_ - g.at_;
                CHECK(!checks_tiers_ || g.tier_ <= s.tier_ ||
                      apart >= shed_gate::window);
            }
        }
        auto const old = [this](auto const& e)
        {
            return now_ - e.at_ > 1s;
        };
        std::erase_if(sheds_, old);
        std::erase_if(grants_, old);
    }

    base::random_source random_;
    bool checks_tiers_;
    cell_settings settings_;
    std::unique_ptr<cell_scheduler> scheduler_;
    base::time_point now_{};
    std::uint64_t number_ = 0;
    /// Keyed by the request's sequence number.
    std::map<std::uint64_t, base::tier> waiting_;
    std::map<std::uint64_t, base::target_id> running_;
    std::set<std::string> leaving_;
    base::tier lowest_permitted_{7};
    base::tier highest_shed_{0};
    std::vector<shed_or_grant> sheds_;
    std::vector<shed_or_grant> grants_;
};

} // namespace

TEST_GROUP(history){};

TEST(history, every_decision_keeps_the_invariants)
{
    for (auto const* policy :
         {"tanagerlead", "fifo_round_robin", "least_outstanding"})
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed)
        {
            random_history{policy, seed}.run(300);
        }
    }
}
