#include "src/entry/byte_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead::entry;

TEST_GROUP(byte_budget){};

TEST(byte_budget, takes_no_more_than_it_has)
{
    byte_budget budget{100};
    CHECK(budget.take(60));
    CHECK(!budget.take(41));
    LONGS_EQUAL(60, budget.used());
    CHECK(budget.take(40));
    budget.give_back(60);
    CHECK(budget.take(60));
}
