#include "tests/routing/fixtures.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::routing;
using namespace tanagerlead::routing::testing;

namespace
{

using numbers = std::vector<std::uint64_t>;

target_info versioned(std::string const& id, std::string const& version,
                      int slots = 1)
{
    auto out = target(id, slots);
    out.version_ = base::software_version{version};
    return out;
}

version_digest version_of(std::string const& version)
{
    return digest_of(base::pool_id{"llm"}, base::software_version{version});
}

pending_call bound(std::uint64_t number, std::string const& version)
{
    auto out = call(number);
    out.answer_started_ = true;
    out.version_ = version_of(version);
    return out;
}

} // namespace

TEST_GROUP(bound_requests)
{
    peer_table peers_;
    driver d_{peers_};

    void finish(std::uint64_t number, base::time_point now)
    {
        d_->on_attempt_end({1, number}, attempt_outcome::finished, now);
        d_.advance(now);
    }
};

TEST(bound_requests, go_to_targets_of_their_version_only)
{
    d_->set_targets({versioned("a", "1", 9), versioned("b", "2", 9),
                     versioned("c", "", 9)});
    for (std::uint64_t n = 1; n <= 6; ++n)
    {
        d_->submit(bound(n, "2"), at(0s));
    }
    d_.advance(at(0s));
    LONGS_EQUAL(6, d_.granted_.size());
    for (auto const& grant : d_.granted_)
    {
        STRCMP_EQUAL("b", grant.target_.str().c_str());
    }
}

TEST(bound_requests, do_not_delay_those_that_any_target_may_run)
{
    d_->set_targets({versioned("a", "1"), versioned("b", "2")});
    d_->submit(bound(1, "2"), at(0s));
    d_.advance(at(0s));
    d_->submit(bound(2, "2"), at(1ms));
    d_->submit(bound(3, "2"), at(1ms));
    d_->submit(call(4), at(1ms));
    d_.advance(at(1ms));
    CHECK(d_.granted_numbers() == (numbers{1, 2, 4}));
    LONGS_EQUAL(1, d_->waiting());
}

TEST(bound_requests, get_a_freed_slot_before_new_requests)
{
    d_->set_targets({versioned("a", "1")});
    d_->submit(call(1), at(0s));
    d_.advance(at(0s));
    d_->submit(call(2), at(1ms));
    d_->submit(bound(3, "1"), at(2ms));
    d_->submit(bound(4, "1"), at(2ms));
    d_.advance(at(2ms));
    finish(1, at(10ms));
    finish(3, at(20ms));
    CHECK(d_.granted_numbers() == (numbers{1, 3, 4}));
}

TEST(bound_requests, are_refused_when_no_target_of_their_version_is_left)
{
    d_->set_targets({versioned("a", "1"), versioned("c", "")});
    for (auto const* const version : {"2", ""})
    {
        CHECK(d_->pool_of(version_of(version)) == nullptr);
        d_->submit(bound(1, version), at(0s));
        d_.advance(at(0s));
        CHECK(d_.refused_.back().cause_ == sched::refusal_cause::no_target);
    }
    CHECK(d_.granted_.empty());
}

TEST(bound_requests, find_targets_that_register_while_they_wait)
{
    d_->set_targets({versioned("a", "1")});
    d_->submit(bound(1, "1"), at(0s));
    d_->submit(bound(2, "1"), at(0s));
    d_->submit(bound(3, "1"), at(0s));
    d_.advance(at(0s));
    LONGS_EQUAL(2, d_.granted_.size());
    d_->set_targets({versioned("a", "1"), versioned("b", "1")});
    d_.advance(at(10ms));
    LONGS_EQUAL(3, d_.granted_.size());
    STRCMP_EQUAL("b", d_.granted_.back().target_.str().c_str());
}

TEST(bound_requests, count_once_among_the_waiting_of_their_pool)
{
    d_->set_targets({versioned("a", "1")});
    for (std::uint64_t n = 1; n <= 3; ++n)
    {
        d_->submit(n == 2 ? bound(n, "1") : call(n), at(0s));
        d_.advance(at(0s));
    }
    d_->submit(bound(4, "1"), at(0s));
    d_.advance(at(0s));
    peer_report report;
    d_->report_usage(report, at(0s));
    LONGS_EQUAL(1, report.waiting_.size());
    LONGS_EQUAL(2, report.waiting_[0].count_);
}
