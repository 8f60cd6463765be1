#include "src/external/etcd_store.hpp"
#include "src/request/kv_claim_store.hpp"
#include "tests/fakes/fake_key_value.hpp"
#include "tests/fakes/hooked_store.hpp"

#include <CppUTest/TestHarness.h>

#include <future>
#include <thread>

using namespace tanagerlead;
using namespace std::chrono_literals;
using base::error_code;
using request::claim;

namespace
{

claim wanted(std::string const& key, std::uint64_t holder,
             std::uint64_t fingerprint = 7)
{
    return {base::workspace_id{"w"}, key, {holder, 1}, fingerprint};
}

} // namespace

TEST_GROUP(kv_claim_store)
{
    base::manual_clock clock_;
    fakes::fake_key_value fake_{{"127.0.0.1", 0}, clock_};
    std::unique_ptr<external::etcd_store> etcd_;
    std::unique_ptr<fakes::hooked_store> hooked_;
    std::chrono::milliseconds wall_{1000};

    void setup() override
    {
        CHECK(fake_.start().has_value());
        external::etcd_settings settings;
        settings.endpoints_ = {fake_.local_address()};
        settings.timeouts_.read_ = 300ms;
        etcd_ = std::make_unique<external::etcd_store>(settings);
        hooked_ = std::make_unique<fakes::hooked_store>(*etcd_, "open");
    }

    void teardown() override
    {
        fake_.stop();
    }

    std::unique_ptr<request::kv_claim_store> make_daemon(
        external::key_value_store & store)
    {
        return std::make_unique<request::kv_claim_store>(
            store, clock_, [this] { return wall_; },
            request::claim_settings{1, 0ns});
    }

    /// Fills pages until `count` keys with that prefix are claimed.
    void fill(request::kv_claim_store & daemon, char const* prefix,
              std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            CHECK(daemon.acquire(wanted(prefix + std::to_string(i), 1))
                      .has_value());
        }
    }
};

TEST(kv_claim_store, the_first_holder_stays)
{
    auto const one = make_daemon(*etcd_);
    auto const two = make_daemon(*etcd_);
    CHECK_EQUAL(1, one->acquire(wanted("k", 1)).value().holder_.origin_);
    CHECK_EQUAL(1, two->acquire(wanted("k", 2)).value().holder_.origin_);
    CHECK_EQUAL(2, two->acquire(wanted("other", 2)).value().holder_.origin_);
}

TEST(kv_claim_store, keys_of_workspaces_are_apart)
{
    auto const one = make_daemon(*etcd_);
    CHECK(one->acquire({base::workspace_id{"a"}, "bc", {1, 1}, 0}).has_value());
    auto const other = one->acquire({base::workspace_id{"ab"}, "c", {2, 1}, 0});
    CHECK_EQUAL(2, other.value().holder_.origin_);
}

TEST(kv_claim_store, of_two_that_race_one_holds)
{
    auto const one = make_daemon(*hooked_);
    auto const two = make_daemon(*etcd_);
    hooked_->before_commit_ = [&]
    {
        CHECK_EQUAL(2, two->acquire(wanted("k", 2)).value().holder_.origin_);
    };
    CHECK_EQUAL(2, one->acquire(wanted("k", 1)).value().holder_.origin_);
    CHECK_EQUAL(1, fake_.log().conflicts_);
}

TEST(kv_claim_store, a_writer_frozen_over_a_seal_does_not_win)
{
    auto const frozen = make_daemon(*hooked_);
    auto const other = make_daemon(*etcd_);
    fill(*other, "a", 10);
    hooked_->before_commit_ = [&]
    {
        CHECK(other->acquire(wanted("k", 2)).has_value());
        fill(*other, "b", request::claims_a_page);
    };
    // The key now lies on a sealed page that the frozen writer never saw.
    CHECK_EQUAL(2, frozen->acquire(wanted("k", 1)).value().holder_.origin_);
    CHECK_EQUAL(1, fake_.log().conflicts_);
}

TEST(kv_claim_store, lost_answers_are_read_back)
{
    auto const one = make_daemon(*etcd_);
    fake_.set_faults({.lose_answers_ = 1});
    CHECK_EQUAL(1, one->acquire(wanted("k", 1)).value().holder_.origin_);
    CHECK_EQUAL(1, fake_.log().lost_answers_);
    CHECK_EQUAL(1, fake_.log().writes_);
}

TEST(kv_claim_store, a_claim_with_every_answer_lost_is_read_back_too)
{
    auto const one = make_daemon(*etcd_);
    fake_.set_faults({.lose_answers_ = 1000});
    CHECK_EQUAL(1, one->acquire(wanted("k", 1)).value().holder_.origin_);
}

TEST(kv_claim_store, errors_are_told)
{
    struct fault_case
    {
        fakes::key_value_faults faults_;
        error_code code_;
    };
    fault_case const cases[] = {
        {{.outage_ = fakes::outage::refuse}, error_code::unavailable},
        {{.outage_ = fakes::outage::unavailable}, error_code::unavailable},
        {{.outage_ = fakes::outage::hang}, error_code::unavailable},
        {{.writes_per_second_ = 1}, error_code::rate_limited},
    };
    for (auto const& fault : cases)
    {
        auto const one = make_daemon(*etcd_);
        fake_.set_faults(fault.faults_);
        auto const claimed = one->acquire(wanted("k", 1));
        CHECK(!claimed && claimed.error().code_ == fault.code_);
        fake_.set_faults({});
    }
    CHECK_EQUAL(0, fake_.keys_under("tanagerlead/claims/"));
}

TEST(kv_claim_store, a_service_that_goes_down_after_the_write_leaves_unknown)
{
    auto const one = make_daemon(*hooked_);
    hooked_->before_commit_ = [&]
    {
        fake_.set_faults({.outage_ = fakes::outage::unavailable});
    };
    auto const claimed = one->acquire(wanted("k", 1));
    CHECK(!claimed && claimed.error().code_ == error_code::unknown_effect);
}

TEST(kv_claim_store, another_fingerprint_is_seen_by_the_caller)
{
    auto const one = make_daemon(*etcd_);
    CHECK(one->acquire(wanted("k", 1, 7)).has_value());
    CHECK_EQUAL(7, one->acquire(wanted("k", 1, 8)).value().fingerprint_);
}

TEST(kv_claim_store, full_pages_are_sealed_and_still_looked_at)
{
    constexpr auto pages = 12;
    auto const one = make_daemon(*etcd_);
    fill(*one, "k", request::claims_a_page * pages + 1);
    CHECK_EQUAL(pages + 1, fake_.keys_under("tanagerlead/claims/0/"));
    // A daemon that starts lists many pages at once.
    auto const two = make_daemon(*etcd_);
    auto const reads = fake_.log().reads_;
    CHECK_EQUAL(1, two->acquire(wanted("k0", 2)).value().holder_.origin_);
    CHECK_EQUAL(2, fake_.log().reads_ - reads);
    CHECK_EQUAL(1, two->acquire(wanted("k999", 2)).value().holder_.origin_);
}

TEST(kv_claim_store, keys_are_forgotten_by_whole_pages)
{
    auto const one = make_daemon(*etcd_);
    auto const two = make_daemon(*etcd_);
    fill(*one, "a", request::claims_a_page + 1);
    wall_ += request::claim_retention - 1ms;
    fill(*one, "b", request::claims_a_page);
    CHECK_EQUAL(1, two->acquire(wanted("a0", 2)).value().holder_.origin_);
    wall_ += 1ms;
    fill(*one, "c", request::claims_a_page);
    CHECK_EQUAL(2, two->acquire(wanted("a0", 2)).value().holder_.origin_);
    CHECK_EQUAL(2, one->acquire(wanted("a0", 1)).value().holder_.origin_);
}

TEST(kv_claim_store, waiting_claims_share_a_write)
{
    constexpr std::size_t followers = 20;
    auto const one = make_daemon(*hooked_);
    std::vector<std::future<base::result<claim>>> claims;
    hooked_->before_commit_ = [&]
    {
        for (std::size_t i = 0; i < followers; ++i)
        {
            claims.push_back(std::async(
                std::launch::async, [&one, i]
                { return one->acquire(wanted(std::to_string(i), i)); }));
        }
        while (one->waiting(0) < followers)
        {
            std::this_thread::yield();
        }
    };
    CHECK(one->acquire(wanted("first", 1)).has_value());
    for (std::size_t i = 0; i < followers; ++i)
    {
        CHECK_EQUAL(i, claims[i].get().value().holder_.origin_);
    }
    CHECK_EQUAL(2, fake_.log().writes_);
}

TEST(kv_claim_store, a_forwarder_that_fails_is_done_without)
{
    auto const one = make_daemon(*etcd_);
    auto const owner = make_daemon(*etcd_);
    one->set_forwarder(
        [&](std::size_t,
            claim const& asked) -> std::optional<base::result<claim>>
        { return owner->acquire_here(asked); });
    CHECK_EQUAL(1, one->acquire(wanted("a", 1)).value().holder_.origin_);
    one->set_forwarder(
        [&](std::size_t,
            claim const& asked) -> std::optional<base::result<claim>>
        {
            CHECK(owner->acquire_here(asked).has_value());
            return base::result<claim>{base::fail(error_code::unknown_effect,
                                                  "forward claim", {}, "")};
        });
    CHECK_EQUAL(1, one->acquire(wanted("b", 1)).value().holder_.origin_);
    CHECK_EQUAL(1, owner->acquire(wanted("b", 2)).value().holder_.origin_);
}

TEST(kv_claim_store, a_corrupt_page_is_an_error)
{
    auto const one = make_daemon(*etcd_);
    for (auto const& bytes :
         {std::string{}, std::string{"x"}, std::string(100, '\xff')})
    {
        CHECK(etcd_->commit({{"tanagerlead/claims/0/open", bytes, {}}})
                  .has_value());
        auto const claimed = one->acquire(wanted("k", 1));
        CHECK(!claimed && claimed.error().code_ == error_code::corrupt);
    }
}
