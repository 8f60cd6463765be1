#include "tests/rollout/fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace tanagerlead;
using namespace tanagerlead::rollout;
using namespace tanagerlead::rollout::testing;

namespace
{

constexpr double exposure_share = 0.1;
constexpr double exposure_slack = 50;

struct fleet_size
{
    std::size_t daemons_;
    double requests_per_second_;
    int seeds_;
    int kills_;
};

constexpr fleet_size sizes[] = {
    {7, 200, 20, 2}, {66, 1000, 4, 6}, {295, 2000, 1, 20}};

fault const faults[] = {
    {.failures_ = 0.3},
    {.failures_ = 0.1},
    {.slow_ = 0.3},
    {.failures_ = 0.3, .from_ = 20s},
    {.failures_ = 0.3, .load_period_ = 16s},
    {.failures_ = 0.3, .one_route_ = true},
};

trouble troubled(fleet_size const& size)
{
    return {
        .kills_ = size.kills_, .cuts_ = size.kills_, .pauses_ = size.kills_};
}

void check_bad(outcome const& o)
{
    CHECK(static_cast<double>(o.exposed_) <=
          exposure_share * static_cast<double>(o.requests_) + exposure_slack);
    CHECK_EQUAL(0, o.late_sends_);
    CHECK_EQUAL(0, o.after_end_);
}

} // namespace

TEST_GROUP(fleet){};

TEST(fleet, a_bad_version_stays_within_its_exposure_and_is_rolled_back)
{
    int played = 0;
    int missed = 0;
    for (auto const& size : sizes)
    {
        int kind = 0;
        for (auto const& f : faults)
        {
            for (int seed = 1; seed <= size.seeds_; ++seed)
            {
                auto const o =
                    play({.daemons_ = size.daemons_,
                          .requests_per_second_ = size.requests_per_second_,
                          .fault_ = f,
                          .trouble_ = troubled(size),
                          .seed_ = static_cast<std::uint64_t>(seed)});
                ++played;
                if (o.phase_ != phase::rolled_back)
                {
                    ++missed;
                    std::printf("missed: %zu daemons, fault %d, seed %d, "
                                "phase %d, %llu of %llu\n",
                                size.daemons_, kind, seed,
                                static_cast<int>(o.phase_),
                                static_cast<unsigned long long>(o.exposed_),
                                static_cast<unsigned long long>(o.requests_));
                }
                check_bad(o);
            }
            ++kind;
        }
    }
    std::printf("%d bad versions, %d missed\n", played, missed);
    CHECK_EQUAL(0, missed);
}

TEST(fleet, a_good_version_is_completed_in_time)
{
    int played = 0;
    int refused = 0;
    for (auto const& size : sizes)
    {
        for (int seed = 1; seed <= 2 * size.seeds_; ++seed)
        {
            auto const o =
                play({.daemons_ = size.daemons_,
                      .requests_per_second_ = size.requests_per_second_,
                      .trouble_ = troubled(size),
                      .seed_ = static_cast<std::uint64_t>(100 + seed)});
            ++played;
            if (o.phase_ != phase::completed)
            {
                ++refused;
                std::printf("refused: %zu daemons, seed %d, phase %d\n",
                            size.daemons_, seed, static_cast<int>(o.phase_));
            }
        }
    }
    std::printf("%d good versions, %d not completed\n", played, refused);
    CHECK_EQUAL(0, refused);
}
