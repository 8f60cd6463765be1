#include "src/sched/fair_queue.hpp"
#include "tests/sched/fixtures.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <map>

using namespace tanagerlead;
using namespace tanagerlead::sched;
using namespace tanagerlead::sched::testing;

TEST_GROUP(fair_queue)
{
    fair_queue queue_;
    std::vector<std::unique_ptr<waiting_request>> requests_;

    waiting_request& push(std::string const& workspace, int tier, double cost)
    {
        auto added = std::make_unique<waiting_request>();
        added->item_ = item(requests_.size(), workspace, tier);
        added->cost_ = cost;
        requests_.push_back(std::move(added));
        queue_.push(*requests_.back());
        return *requests_.back();
    }

    waiting_request& serve()
    {
        auto* const next = queue_.front(base::tier{7});
        if (next == nullptr)
        {
            FAIL("nothing to serve");
            std::abort();
        }
        queue_.take(*next);
        return *next;
    }

    /// Cost served for each workspace.
    std::map<std::string, double> serve(int count)
    {
        std::map<std::string, double> served;
        for (int i = 0; i < count; ++i)
        {
            auto const& next = serve();
            served[next.item_.workspace_.str()] += next.cost_;
        }
        return served;
    }
};

TEST(fair_queue, serves_tiers_strictly_in_order)
{
    push("a", 2, 1);
    push("a", 1, 1);
    push("b", 0, 100);
    CHECK_EQUAL(0, static_cast<int>(base::index(serve().item_.tier_)));
    CHECK_EQUAL(1, static_cast<int>(base::index(serve().item_.tier_)));
    CHECK(queue_.front(base::tier{1}) == nullptr);
    CHECK_EQUAL(2, static_cast<int>(base::index(serve().item_.tier_)));
    CHECK(queue_.front(base::tier{7}) == nullptr);
}

TEST(fair_queue, shares_cost_evenly_between_long_and_short_requests)
{
    for (int i = 0; i < 200; ++i)
    {
        push("long", 0, 1000);
    }
    for (int i = 0; i < 20000; ++i)
    {
        push("short", 0, 10);
    }
    auto const served = serve(10000);
    auto const ratio = served.at("long") / served.at("short");
    DOUBLES_EQUAL(1.0, ratio, 0.1);
}

TEST(fair_queue, shares_by_weight)
{
    queue_.set_weights({{base::workspace_id{"a"}, 3.0}});
    for (int i = 0; i < 1000; ++i)
    {
        push("a", 0, 10);
        push("b", 0, 10);
    }
    auto const served = serve(800);
    DOUBLES_EQUAL(3.0, served.at("a") / served.at("b"), 0.1);
}

TEST(fair_queue, a_workspace_that_was_idle_is_served_before_a_backlog)
{
    for (int i = 0; i < 100; ++i)
    {
        push("large", 0, 50);
    }
    serve(10);
    auto const& small = push("small", 0, 50);
    CHECK(&serve() == &small);
}

TEST(fair_queue, sending_one_request_at_a_time_gains_no_extra_share)
{
    for (int i = 0; i < 1000; ++i)
    {
        push("steady", 0, 10);
    }
    double single = 0;
    double all = 0;
    push("single", 0, 100);
    for (int i = 0; i < 400; ++i)
    {
        auto const& next = serve();
        all += next.cost_;
        if (next.item_.workspace_.str() == "single")
        {
            single += next.cost_;
            push("single", 0, 100);
        }
    }
    CHECK(single < 0.55 * all);
}

TEST(fair_queue, withdrawn_requests_are_not_served_or_counted)
{
    auto& first = push("a", 0, 5);
    auto& second = push("a", 0, 7);
    queue_.erase(first);
    DOUBLES_EQUAL(7, queue_.backlog(base::tier{0}), 1e-9);
    CHECK(&serve() == &second);
    LONGS_EQUAL(0, queue_.size(base::tier{0}));
}

TEST(fair_queue, a_small_workspace_has_little_ahead_of_it)
{
    for (int i = 0; i < 100; ++i)
    {
        push("large", 1, 10);
    }
    push("small", 1, 10);
    push("other", 0, 7);
    auto const ahead = [&](char const* workspace)
    {
        return queue_.cost_ahead(base::workspace_id{workspace}, base::tier{1});
    };
    DOUBLES_EQUAL(7 + 1010, ahead("large"), 1e-6);
    DOUBLES_EQUAL(7 + 20, ahead("small"), 1e-6);
    DOUBLES_EQUAL(7, ahead("new"), 1e-6);
}

TEST(fair_queue, victims_are_the_newest_of_the_largest_backlog)
{
    for (int i = 0; i < 10; ++i)
    {
        push("large", 1, 10);
    }
    push("small", 1, 10);
    auto const victims = queue_.victims(base::tier{1}, 25);
    LONGS_EQUAL(3, victims.size());
    for (auto const* v : victims)
    {
        STRCMP_EQUAL("large", v->item_.workspace_.str().c_str());
        CHECK(v->item_.request_.sequence_ >= 7);
    }
}
