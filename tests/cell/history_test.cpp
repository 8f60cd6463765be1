#include "tests/cell/history.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;

TEST_GROUP(history){};

TEST(history, promises_hold_under_random_faults)
{
    constexpr std::uint64_t first_seed = 1;
    constexpr std::uint64_t histories = 2000;
    std::size_t dispatches = 0;
    std::size_t share_dispatches = 0;
    std::size_t withdrawals = 0;
    for (auto seed = first_seed; seed < first_seed + histories; ++seed)
    {
        cell::history one{seed};
        STRCMP_EQUAL("", one.run().c_str());
        dispatches += one.dispatches();
        share_dispatches += one.share_dispatches();
        withdrawals += one.withdrawals();
    }
    // The faults must have reached what they are meant for.
    CHECK(dispatches > 10 * histories);
    CHECK(share_dispatches > histories);
    CHECK(withdrawals > histories);
}

TEST(history, promises_hold_with_each_policy)
{
    constexpr std::uint64_t first_seed = 100001;
    constexpr std::uint64_t histories = 300;
    for (auto const* policy :
         {"tanagerlead", "fifo_round_robin", "least_outstanding"})
    {
        for (auto seed = first_seed; seed < first_seed + histories; ++seed)
        {
            cell::history one{seed, [policy]
                              {
                                  return sched::make_scheduler(policy);
                              }};
            STRCMP_EQUAL("", one.run().c_str());
        }
    }
}
