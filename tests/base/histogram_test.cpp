#include "src/base/histogram.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace std::chrono_literals;

TEST_GROUP(duration_histogram){};

TEST(duration_histogram, quantile_lies_within_a_bin_of_the_value)
{
    base::duration_histogram histogram;
    for (int i = 1; i <= 1000; ++i)
    {
        histogram.add(std::chrono::milliseconds{i});
    }
    auto const median = base::milliseconds(histogram.quantile(0.5));
    CHECK(median > 350);
    CHECK(median < 700);
    CHECK_EQUAL(1000, histogram.count());
}

TEST(duration_histogram, merge_adds_counts_and_overflow)
{
    base::duration_histogram a;
    base::duration_histogram b;
    a.add(1ms);
    b.add(1us);
    b.add(2000s);
    a.merge(b);
    CHECK_EQUAL(3, a.count());
    CHECK_EQUAL(2, a.cumulative().back());
    CHECK_EQUAL(base::duration_histogram::upper_edges().size(),
                a.cumulative().size());
}
