#include "tests/routing/simulated_losses.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace tanagerlead;
using namespace tanagerlead::routing::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t seeds = 500;

std::string describe(std::uint64_t seed, simulated_losses const& fleet)
{
    return "seed " + std::to_string(seed) + ": " +
           std::to_string(fleet.wrong()) + " wrong, " +
           std::to_string(fleet.inferred()) + " inferred, " +
           std::to_string(fleet.refused()) + " refused";
}

} // namespace

TEST_GROUP(stream_losses){};

// Streams of two versions are never joined, whenever daemons die.
TEST(stream_losses, no_version_is_inferred_that_did_not_begin_the_stream)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        simulated_losses fleet{{}, seed};
        fleet.run(120s);
        CHECK_TEXT(fleet.wrong() == 0, describe(seed, fleet).c_str());
        CHECK_TEXT(fleet.inferred() > 0, describe(seed, fleet).c_str());
    }
}

// The store may come back from an older copy at the same time.
TEST(stream_losses, a_restored_store_infers_no_other_version)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        simulated_losses fleet{{.restorations_per_second_ = 0.03}, seed};
        fleet.run(120s);
        CHECK_TEXT(fleet.wrong() == 0, describe(seed, fleet).c_str());
    }
}

// While no version changes, each stream that may go on does.
TEST(stream_losses, all_streams_of_a_pool_with_one_version_go_on)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        simulated_losses fleet{
            {.losses_of_all_per_second_ = 0.1, .changes_per_second_ = 0}, seed};
        fleet.run(120s);
        CHECK_TEXT(fleet.refused() == 0, describe(seed, fleet).c_str());
        CHECK_TEXT(fleet.inferred() > 0, describe(seed, fleet).c_str());
    }
}
