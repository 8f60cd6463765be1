#include "src/base/base64.hpp"
#include "src/external/etcd_store.hpp"
#include "tests/fakes/fake_key_value.hpp"

#include <CppUTest/TestHarness.h>

#include <condition_variable>
#include <mutex>

using namespace tanagerlead;
using namespace std::chrono_literals;
using base::error_code;
using external::commit_outcome;

TEST_GROUP(base64){};

TEST(base64, every_length_survives)
{
    std::string bytes;
    for (int length = 0; length < 9; ++length)
    {
        auto const decoded = base::base64_decode(base::base64_encode(bytes));
        CHECK(decoded == bytes);
        bytes += static_cast<char>(length * 37);
    }
    CHECK_FALSE(base::base64_decode("a").has_value());
    CHECK_FALSE(base::base64_decode("a*==").has_value());
}

TEST_GROUP(etcd_store)
{
    base::steady_clock clock_;
    fakes::fake_key_value fake_{{"127.0.0.1", 0}, clock_};

    void setup() override
    {
        CHECK(fake_.start().has_value());
    }
    void teardown() override
    {
        fake_.stop();
    }

    external::etcd_settings settings() const
    {
        external::etcd_settings out;
        out.endpoints_ = {fake_.local_address()};
        out.timeouts_.read_ = 300ms;
        out.first_backoff_ = 1ms;
        return out;
    }
};

TEST(etcd_store, commit_writes_all_or_none)
{
    external::etcd_store store{settings()};
    auto const absent = store.get("a");
    CHECK(absent.has_value());
    CHECK_EQUAL(0, absent.value().revision_);
    CHECK(store.commit({{"a", "1", 0}, {"b", "2", 0}}).value() ==
          commit_outcome::committed);
    CHECK(store.commit({{"a", "3", 0}, {"c", "4", std::nullopt}}).value() ==
          commit_outcome::conflict);
    auto const listed = store.list("");
    CHECK(listed.has_value());
    CHECK_EQUAL(2, listed.value().size());
    auto const kept = store.get("a").value();
    STRCMP_EQUAL("1", kept.value_.c_str());
    CHECK(store.commit({{"a", std::nullopt, kept.revision_}}).value() ==
          commit_outcome::committed);
    CHECK_EQUAL(0, store.get("a").value().revision_);
}

TEST(etcd_store, list_keeps_to_the_prefix)
{
    external::etcd_store store{settings()};
    std::vector<external::key_value_write> const writes{
        {"p/1", "", {}}, {"p/2", "", {}}, {"p0", "", {}}, {"o", "", {}}};
    CHECK(store.commit(writes).has_value());
    CHECK_EQUAL(2, store.list("p/").value().size());
}

namespace
{

struct fault_case
{
    char const* name_;
    fakes::key_value_faults faults_;
    error_code read_;
    error_code write_;
    bool write_applied_;
};

fault_case const fault_cases[] = {
    {"refuse",
     {.outage_ = fakes::outage::refuse},
     error_code::unavailable,
     error_code::not_sent,
     false},
    {"hang",
     {.outage_ = fakes::outage::hang},
     error_code::unavailable,
     error_code::unknown_effect,
     false},
    {"503",
     {.outage_ = fakes::outage::unavailable},
     error_code::unavailable,
     error_code::unknown_effect,
     false},
    {"slower than the timeout",
     {.slowness_ = 1h},
     error_code::unavailable,
     error_code::unknown_effect,
     false},
};

} // namespace

TEST(etcd_store, faults_are_told_apart)
{
    for (auto const& fault : fault_cases)
    {
        external::etcd_store store{settings()};
        fake_.set_faults(fault.faults_);
        auto const read = store.get("a");
        auto const written = store.commit({{"a", "1", std::nullopt}});
        CHECK_TEXT(!read && read.error().code_ == fault.read_, fault.name_);
        CHECK_TEXT(!written && written.error().code_ == fault.write_,
                   fault.name_);
        CHECK_FALSE(read.error().step_.empty());
        fake_.set_faults({});
    }
}

TEST(etcd_store, lost_answer_is_unknown_and_applied)
{
    external::etcd_store store{settings()};
    fake_.set_faults({.lose_answers_ = 1});
    auto const written = store.commit({{"a", "1", 0}});
    CHECK(!written && written.error().code_ == error_code::unknown_effect);
    STRCMP_EQUAL("1", store.get("a").value().value_.c_str());
    CHECK_EQUAL(1, fake_.log().lost_answers_);
}

TEST(etcd_store, rate_limit_is_named)
{
    base::manual_clock frozen;
    fakes::fake_key_value limited{{"127.0.0.1", 0}, frozen};
    CHECK(limited.start().has_value());
    auto to_limited = settings();
    to_limited.endpoints_ = {limited.local_address()};
    external::etcd_store store{to_limited};
    limited.set_faults({.writes_per_second_ = 1});
    auto const written = store.commit({{"a", "1", 0}});
    CHECK(!written && written.error().code_ == error_code::rate_limited);
    CHECK(store.get("a").has_value());
    frozen.advance(1s);
    CHECK(store.commit({{"a", "1", 0}}).has_value());
}

TEST(etcd_store, next_endpoint_is_tried_when_nothing_was_sent)
{
    fakes::fake_key_value other{{"127.0.0.1", 0}, clock_};
    CHECK(other.start().has_value());
    auto both = settings();
    both.endpoints_.push_back(other.local_address());
    external::etcd_store store{both};
    fake_.set_faults({.outage_ = fakes::outage::refuse});
    CHECK(store.commit({{"a", "1", 0}}).value() == commit_outcome::committed);
    CHECK_EQUAL(1, other.log().writes_);
}

TEST(etcd_store, no_endpoint_is_an_error)
{
    external::etcd_store store{{}};
    CHECK(store.get("a").error().code_ == error_code::not_sent);
    CHECK(store.watch("a", [](auto const&) {}) == nullptr);
}

namespace
{

/// Collects what a watch tells.
class watch_journal
{
public:
    void add(external::key_value_entry const& entry)
    {
        std::lock_guard const lock{mutex_};
        seen_.push_back(entry);
        changed_.notify_all();
    }

    /// Waits until the value has been told; true when it was.
    bool wait_for(std::string const& value)
    {
        std::unique_lock lock{mutex_};
        constexpr auto give_up = 30s;
        return changed_.wait_for(
            lock, give_up,
            [&] { return !seen_.empty() && seen_.back().value_ == value; });
    }

    std::size_t count()
    {
        std::lock_guard const lock{mutex_};
        return seen_.size();
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<external::key_value_entry> seen_;
};

} // namespace

TEST(etcd_store, watch_tells_later_values_and_reconnects)
{
    external::etcd_store store{settings()};
    watch_journal journal;
    CHECK(store.commit({{"a", "1", 0}}).has_value());
    auto const watch =
        store.watch("a", [&](auto const& entry) { journal.add(entry); });
    CHECK(journal.wait_for("1"));
    CHECK(store.commit({{"a", "2", std::nullopt}}).has_value());
    CHECK(journal.wait_for("2"));
    fake_.drop_watches();
    CHECK(store.commit({{"a", "3", std::nullopt}}).has_value());
    CHECK(journal.wait_for("3"));
    fake_.set_faults({.outage_ = fakes::outage::refuse});
    fake_.set_faults({});
    CHECK(store.commit({{"a", "4", std::nullopt}}).has_value());
    CHECK(journal.wait_for("4"));
}

TEST(etcd_store, watch_ends_while_the_service_hangs)
{
    external::etcd_store store{settings()};
    fake_.set_faults({.outage_ = fakes::outage::hang});
    auto watch = store.watch("a", [](auto const&) {});
    watch.reset();
    CHECK_EQUAL(0, fake_.held_watches());
}
