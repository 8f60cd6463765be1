#include "src/cell/suspicion_exchange.hpp"
#include "tests/cell/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace std::chrono_literals;

/// A request that ends targets is known to all daemons.
TEST_GROUP(suspicion)
{
    static constexpr std::uint64_t bad = 77;

    cell::cluster cluster_{3, 7, false,
                           []
                           {
                               return sched::make_scheduler("tanagerlead");
                           }};
    std::size_t owner_ = cluster_.owner();
    std::size_t entry_ = (owner_ + 1) % 3;
    std::size_t other_ = (owner_ + 2) % 3;

    void setup() override
    {
        cluster_.set_config(cell::small_configuration(5, 2));
        cluster_.run_for(1s);
    }

    /// Copies of the bad request end three targets.
    void end_targets()
    {
        for (int i = 0; i < 3; ++i)
        {
            auto const request = cluster_.submit(entry_, 0, bad);
            cluster_.run_for(100ms);
            auto const& last = cluster_.decisions().back();
            CHECK(last.decided_.request_ == request);
            auto const& order =
                std::get<request::dispatch_to>(last.decided_.decision_);
            cluster_.report(entry_, request, order.target_,
                            sched::dispatch_event::target_lost);
            cluster_.run_for(100ms);
        }
    }

    void lose_owner()
    {
        cluster_.crash(owner_);
        cluster_.spread_members();
        cluster_.run_for(200ms);
        CHECK(cluster_.owner(entry_) != owner_);
    }

    bool is_refused(std::size_t node)
    {
        auto const request = cluster_.submit(node, 0, bad);
        cluster_.run_for(200ms);
        auto const& last = cluster_.decisions().back();
        auto const* refused =
            std::get_if<request::refuse>(&last.decided_.decision_);
        return last.decided_.request_ == request && refused != nullptr &&
               refused->cause_ == sched::refusal_cause::quarantined;
    }
};

TEST(suspicion, outlives_the_owner_that_found_it)
{
    end_targets();
    CHECK(is_refused(entry_));
    lose_owner();
    CHECK(is_refused(entry_));
    CHECK(is_refused(other_));
}

TEST(suspicion, reaches_a_daemon_that_missed_the_news)
{
    cluster_.cut(owner_, other_, true);
    end_targets();
    cluster_.cut(owner_, other_, false);
    cluster_.cut(entry_, other_, true);
    cluster_.run_for(3 * cell::suspicion_exchange::interval);
    cluster_.crash(entry_);
    cluster_.crash(owner_);
    cluster_.spread_members();
    cluster_.run_for(200ms);
    LONGS_EQUAL(other_, cluster_.owner(other_));
    CHECK(is_refused(other_));
}
