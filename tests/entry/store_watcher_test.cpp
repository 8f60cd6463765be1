#include "platform/wire_protocol.hpp"
#include "src/entry/configuration_reader.hpp"
#include "src/entry/control_plane.hpp"
#include "src/entry/daemon_registration.hpp"
#include "src/entry/registry_reader.hpp"
#include "src/entry/store_era_tracker.hpp"
#include "src/entry/store_watcher.hpp"
#include "tests/entry/fake_store.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>

using namespace tanagerlead;
using namespace tanagerlead::entry;
using tanagerlead::test::fake_store;
using tanagerlead::test::store_error;
using namespace std::chrono_literals;

namespace
{

/// Records the calls of a watcher.
class recorder final : public store_observer
{
public:
    void on_items(std::vector<store_item> const& items) override
    {
        item_lists_.push_back(items);
    }
    void on_changes(std::vector<store_item> const& items) override
    {
        changes_.push_back(items);
    }
    void on_store_lost(base::error const&) override { ++lost_count_; }
    void on_store_recovered() override { ++recovered_count_; }

    std::vector<std::vector<store_item>> item_lists_;
    std::vector<std::vector<store_item>> changes_;
    int lost_count_ = 0;
    int recovered_count_ = 0;
};

store_item item(std::string key, std::string value, std::uint64_t revision)
{
    return {std::move(key), std::move(value), store_revision{revision}, false};
}

store_page page(std::vector<store_item> items, bool more,
                std::uint64_t revision)
{
    return {std::move(items), more, store_revision{revision}};
}

std::string target_entry(char const* state)
{
    return std::string{R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z",)"
                       R"("Slots":1,"State":")"} +
           state + "\"}";
}

} // namespace

TEST_GROUP(store_watcher)
{
    net::asio::io_context loop_;
    fake_store store_;
    recorder recorder_;
    store_watcher watcher_{loop_, store_, recorder_, {"p/", {}}, 1};

    /// Runs the loop until `calls` holds a call.
    template <class Call>
    void run_until(std::deque<Call> const& calls)
    {
        while (calls.empty())
        {
            loop_.run_one();
            loop_.restart();
        }
    }

    /// Whether the watcher makes a call. The limit is far beyond its own
    /// timers, so that a busy machine does not decide.
    bool has_call_within_seconds(int limit)
    {
        auto const end = net::now() + std::chrono::seconds{limit};
        while (store_.lists_.empty() && store_.watches_.empty() &&
               net::now() < end)
        {
            loop_.run_one_for(10ms);
            loop_.restart();
        }
        return !store_.lists_.empty() || !store_.watches_.empty();
    }
};

TEST(store_watcher, reads_all_pages_and_watches_from_the_revision_of_the_first)
{
    watcher_.start();
    fake_store::take(store_.lists_).done_(page({item("p/a", "1", 3)}, true, 7));
    auto const second = fake_store::take(store_.lists_);
    STRCMP_EQUAL("p/a", second.after_.c_str());
    second.done_(page({item("p/b", "2", 4)}, false, 9));
    LONGS_EQUAL(1, recorder_.item_lists_.size());
    LONGS_EQUAL(2, recorder_.item_lists_[0].size());
    // A watch from a later revision would miss changes between the pages.
    CHECK(store_.watches_.front().after_ == store_revision{7});
}

TEST(store_watcher, watches_from_the_last_change)
{
    watcher_.start();
    fake_store::take(store_.lists_).done_(page({}, false, 7));
    fake_store::take(store_.watches_)
        .done_(store_changes{{item("p/a", "1", 8)}, store_revision{8}});
    LONGS_EQUAL(1, recorder_.changes_.size());
    CHECK(store_.watches_.front().after_ == store_revision{8});
}

TEST(store_watcher, lists_again_when_the_history_is_gone)
{
    watcher_.start();
    fake_store::take(store_.lists_).done_(page({}, false, 7));
    fake_store::take(store_.watches_)
        .done_(base::failure(store_error(base::error_code::not_found)));
    LONGS_EQUAL(0, recorder_.lost_count_);
    fake_store::take(store_.lists_).done_(page({}, false, 20));
    CHECK(store_.watches_.front().after_ == store_revision{20});
}

TEST(store_watcher, reports_an_outage_once_and_lists_again_afterwards)
{
    watcher_.start();
    fake_store::take(store_.lists_).done_(page({}, false, 7));
    fake_store::take(store_.watches_)
        .done_(base::failure(store_error(base::error_code::unknown_effect)));
    for (int i = 0; i < 3; ++i)
    {
        run_until(store_.lists_);
        fake_store::take(store_.lists_)
            .done_(base::failure(store_error(base::error_code::unavailable)));
    }
    LONGS_EQUAL(1, recorder_.lost_count_);
    run_until(store_.lists_);
    fake_store::take(store_.lists_).done_(page({}, false, 30));
    LONGS_EQUAL(1, recorder_.recovered_count_);
    LONGS_EQUAL(2, recorder_.item_lists_.size());
}

TEST(store_watcher, reports_recovery_before_the_items)
{
    // The registry keeps entries that expired during an outage only if it knows
    // of the outage when the listing arrives.
    watcher_.start();
    fake_store::take(store_.lists_)
        .done_(base::failure(store_error(base::error_code::not_sent)));
    run_until(store_.lists_);
    LONGS_EQUAL(0, recorder_.recovered_count_);
    fake_store::take(store_.lists_).done_(page({}, false, 1));
    LONGS_EQUAL(1, recorder_.recovered_count_);
    LONGS_EQUAL(1, recorder_.item_lists_.size());
}

TEST(store_watcher, ignores_answers_from_before_a_restart)
{
    watcher_.start();
    fake_store::take(store_.lists_).done_(page({}, false, 70));
    auto const watch = fake_store::take(store_.watches_);
    watcher_.restart();
    // The revision of the watch means something else in the new era.
    watch.done_(store_changes{{item("p/a", "1", 71)}, store_revision{71}});
    CHECK(recorder_.changes_.empty());
    CHECK(store_.watches_.empty());
    run_until(store_.lists_);
    fake_store::take(store_.lists_)
        .done_(page({item("p/b", "2", 9)}, false, 9));
    CHECK(store_.watches_.front().after_ == store_revision{9});
    LONGS_EQUAL(2, recorder_.item_lists_.size());
    LONGS_EQUAL(0, recorder_.lost_count_);
}

TEST(store_watcher, does_not_join_pages_of_two_eras)
{
    watcher_.start();
    fake_store::take(store_.lists_)
        .done_(page({item("p/a", "old", 3)}, true, 7));
    auto const second = fake_store::take(store_.lists_);
    watcher_.restart();
    second.done_(page({item("p/b", "new", 2)}, false, 4));
    CHECK(recorder_.item_lists_.empty());
    run_until(store_.lists_);
    auto const again = fake_store::take(store_.lists_);
    STRCMP_EQUAL("", again.after_.c_str());
    again.done_(page({item("p/a", "new", 1)}, false, 4));
    LONGS_EQUAL(1, recorder_.item_lists_.size());
    STRCMP_EQUAL("new", recorder_.item_lists_[0][0].value_.c_str());
}

TEST(store_watcher, lists_at_once_when_another_reader_reached_the_store)
{
    watcher_.start();
    fake_store::take(store_.lists_)
        .done_(base::failure(store_error(base::error_code::unavailable)));
    CHECK(store_.lists_.empty());
    watcher_.on_store_reached();
    fake_store::take(store_.lists_).done_(page({}, false, 3));
    LONGS_EQUAL(1, recorder_.recovered_count_);
    // Once it follows the store, it has nothing to make up for.
    watcher_.on_store_reached();
    CHECK(store_.lists_.empty());
    LONGS_EQUAL(1, store_.watches_.size());
}

TEST(store_watcher, gives_up_a_call_that_hangs_when_the_store_is_reached)
{
    watcher_.start();
    fake_store::take(store_.lists_)
        .done_(base::failure(store_error(base::error_code::unavailable)));
    run_until(store_.lists_);
    auto const hanging = fake_store::take(store_.lists_);
    watcher_.on_store_reached();
    fake_store::take(store_.lists_).done_(page({}, false, 3));
    hanging.done_(base::failure(store_error(base::error_code::unknown_effect)));
    LONGS_EQUAL(1, recorder_.lost_count_);
    LONGS_EQUAL(1, store_.watches_.size());
}

// A store can stay silent on a connection that looks alive.
TEST(store_watcher, a_watch_without_an_answer_does_not_hide_changes)
{
    watcher_.start();
    fake_store::take(store_.lists_).done_(page({}, false, 7));
    fake_store::take(store_.watches_);
    CHECK(has_call_within_seconds(8));
}

TEST(store_watcher, a_hanging_call_does_not_delay_the_return_to_the_store)
{
    watcher_.start();
    fake_store::take(store_.lists_)
        .done_(base::failure(store_error(base::error_code::unavailable)));
    run_until(store_.lists_);
    fake_store::take(store_.lists_); // It is left without an answer.
    CHECK(has_call_within_seconds(8));
}

TEST_GROUP(control_plane)
{
    net::asio::io_context loop_;
    fake_store store_;
    platform::wire_protocol protocol_;
    settings settings_ = []
    {
        settings s;
        s.daemon_ = base::daemon_id{"d1"};
        s.callers_ = {"127.0.0.1", 0};
        s.peers_ = {"127.0.0.1", 0};
        return s;
    }();
    std::vector<std::vector<routing::target_info>> published_;
    control_plane control_{loop_,
                           store_,
                           protocol_,
                           settings_,
                           {[](routing::configuration_ptr const&) {},
                            [this](std::vector<routing::target_info> targets)
                            { published_.push_back(std::move(targets)); },
                            [](std::vector<std::string> const&) {},
                            [] {
                            }}};

    /// Takes the listing of `prefix`, if one is asked for.
    std::optional<fake_store::list_call> take_list(std::string const& prefix)
    {
        auto const found =
            std::find_if(store_.lists_.begin(), store_.lists_.end(),
                         [&](fake_store::list_call const& call)
                         { return call.prefix_ == prefix; });
        if (found == store_.lists_.end())
        {
            return std::nullopt;
        }
        auto call = std::move(*found);
        store_.lists_.erase(found);
        return call;
    }

    void fail(std::string const& prefix)
    {
        take_list(prefix).value().done_(
            base::failure(store_error(base::error_code::unavailable)));
    }

    /// Both readers lose the store; only the one of `first` is answered again.
    void check_return(std::string const& first, std::string const& second)
    {
        CHECK(control_.start().has_value());
        fail(first);
        fail(second);
        auto retried = take_list(first);
        while (!retried)
        {
            take_list(second); // It is left without an answer.
            loop_.run_one();
            loop_.restart();
            retried = take_list(first);
        }
        take_list(second);
        retried->done_(page({}, false, 3));
        CHECK(take_list(second).has_value());
    }
};

TEST(control_plane, registry_is_read_as_soon_as_the_configuration_is)
{
    // Missing targets are kept for a time that starts here.
    check_return(protocol_.configuration_key(), protocol_.target_prefix());
}

TEST(control_plane, configuration_is_read_as_soon_as_the_registry_is)
{
    check_return(protocol_.target_prefix(), protocol_.configuration_key());
}

TEST_GROUP(store_era_tracker)
{
    std::vector<store_era> fresh_;
    store_era_tracker tracker_{[this](store_era era)
                               {
                                   fresh_.push_back(era);
                               }};
};

TEST(store_era_tracker, tells_new_eras_from_outdated_answers)
{
    CHECK(tracker_.observe(unknown_store_era));
    CHECK(tracker_.observe(store_era{5}));
    CHECK(fresh_.empty());
    CHECK(tracker_.observe(store_era{6}));
    LONGS_EQUAL(1, fresh_.size());
    // Answers on two connections may arrive out of order.
    CHECK(!tracker_.observe(store_era{5}));
    CHECK(tracker_.observe(store_era{6}));
    CHECK(tracker_.observe(unknown_store_era));
    CHECK(tracker_.observe(store_era{9}));
    LONGS_EQUAL(2, fresh_.size());
    CHECK(tracker_.current() == store_era{9});
}

TEST_GROUP(configuration_reader)
{
    platform::wire_protocol protocol_;
    std::vector<routing::configuration_ptr> published_;
    configuration_reader reader_{protocol_,
                                 [this](routing::configuration_ptr fresh)
                                 {
                                     published_.push_back(std::move(fresh));
                                 }};
};

TEST(configuration_reader, never_goes_back_to_an_older_version)
{
    reader_.on_document(R"({"Version":5})", "store");
    reader_.on_document(R"({"Version":4})", "peer");
    reader_.on_document(R"({"Version":5})", "peer");
    LONGS_EQUAL(1, published_.size());
    reader_.on_document(R"({"Version":9})", "peer");
    LONGS_EQUAL(2, published_.size());
    CHECK(reader_.version() == base::config_version{9});
}

TEST(configuration_reader, keeps_its_configuration_when_a_document_is_malformed)
{
    reader_.on_document(R"({"Version":5})", "store");
    reader_.on_document("{", "store");
    reader_.on_changes({{"op/config", "", {}, true}});
    LONGS_EQUAL(1, published_.size());
    STRCMP_EQUAL(R"({"Version":5})", reader_.document().c_str());
}

TEST(configuration_reader, ignores_other_keys)
{
    reader_.on_items({item("op/config2", R"({"Version":5})", 1)});
    LONGS_EQUAL(0, published_.size());
}

TEST_GROUP(registry_reader)
{
    net::asio::io_context loop_;
    platform::wire_protocol protocol_;
    std::vector<std::vector<routing::target_info>> published_;
    registry_reader reader_{loop_, protocol_,
                            [this](std::vector<routing::target_info> targets)
                            {
                                published_.push_back(std::move(targets));
                            }};
};

TEST(registry_reader, publishes_changes_only)
{
    reader_.on_items({item("servers/a", target_entry("ready"), 1)});
    reader_.on_changes({item("servers/a", target_entry("ready"), 2)});
    LONGS_EQUAL(1, published_.size());
    reader_.on_changes({item("servers/a", target_entry("draining"), 3)});
    CHECK(published_.back()[0].draining_);
}

TEST(registry_reader,
     a_target_that_left_while_this_daemon_was_away_is_dropped_at_once)
{
    std::vector<store_item> items{item("servers/a", target_entry("ready"), 1),
                                  item("servers/b", target_entry("ready"), 2),
                                  item("servers/c", target_entry("ready"), 3)};
    reader_.on_items(items);
    reader_.on_store_lost(store_error(base::error_code::unavailable));
    reader_.on_store_recovered();
    // The other entries did not expire, so neither did this one.
    items.pop_back();
    reader_.on_items(items);
    LONGS_EQUAL(2, published_.back().size());
}

TEST(registry_reader, targets_that_expired_in_an_outage_may_register_again)
{
    std::vector<store_item> const items{
        item("servers/a", target_entry("ready"), 1),
        item("servers/b", target_entry("ready"), 2),
        item("servers/c", target_entry("ready"), 3)};
    reader_.on_items(items);
    reader_.on_store_lost(store_error(base::error_code::unavailable));
    reader_.on_store_recovered();
    reader_.on_items({item("servers/c", target_entry("ready"), 9)});
    LONGS_EQUAL(3, published_.back().size());
}

TEST(registry_reader, one_malformed_entry_does_not_affect_the_others)
{
    reader_.on_items({item("servers/a", target_entry("ready"), 1),
                      item("servers/b", "\xff{", 1),
                      item("servers/c", target_entry("ready"), 1)});
    LONGS_EQUAL(2, published_.back().size());
}

TEST(registry_reader, an_entry_that_becomes_malformed_removes_its_target)
{
    reader_.on_items({item("servers/a", target_entry("ready"), 1)});
    reader_.on_changes({item("servers/a", "{}", 2)});
    LONGS_EQUAL(0, published_.back().size());
}

TEST_GROUP(daemon_registration)
{
    net::asio::io_context loop_;
    fake_store store_;
    std::vector<std::string> listed_;
    daemon_registration registration_{loop_, store_, "d1", "10.0.0.1",
                                      [this](std::vector<std::string> ips)
                                      {
                                          listed_ = std::move(ips);
                                      }};
};

TEST(daemon_registration, registers_under_its_lease_and_lists_the_daemons)
{
    registration_.start();
    fake_store::take(store_.grants_)(store_lease{5});
    auto const put = fake_store::take(store_.puts_);
    STRCMP_EQUAL("tanagerlead/daemons/d1", put.key_.c_str());
    CHECK(put.lease_ == store_lease{5});
    put.done_(base::success());
    fake_store::take(store_.lists_)
        .done_(page({item("tanagerlead/daemons/d2", "10.0.0.2", 1)}, false, 1));
    LONGS_EQUAL(1, listed_.size());
    STRCMP_EQUAL("10.0.0.2", listed_[0].c_str());
}

TEST(daemon_registration, removes_its_entry_when_it_shuts_down)
{
    registration_.start();
    fake_store::take(store_.grants_)(store_lease{5});
    fake_store::take(store_.puts_).done_(base::success());
    bool left = false;
    registration_.shut_down([&] { left = true; });
    CHECK(left);
    STRCMP_EQUAL("tanagerlead/daemons/d1", store_.removed_.front().c_str());
}

TEST(daemon_registration, shuts_down_at_once_without_a_lease)
{
    registration_.start();
    bool left = false;
    registration_.shut_down([&] { left = true; });
    CHECK(left);
    fake_store::take(store_.grants_)(store_lease{5});
    CHECK(store_.puts_.empty());
}

TEST(daemon_registration, registers_again_in_a_new_era)
{
    registration_.start();
    fake_store::take(store_.grants_)(store_lease{5});
    fake_store::take(store_.puts_).done_(base::success());
    registration_.on_new_era();
    while (store_.grants_.empty())
    {
        loop_.run_one();
        loop_.restart();
    }
    // The old lease may belong to another daemon now.
    CHECK(store_.renewals_.empty());
    fake_store::take(store_.grants_)(store_lease{1});
    CHECK(fake_store::take(store_.puts_).lease_ == store_lease{1});
}

TEST(daemon_registration, does_not_use_a_lease_of_an_earlier_era)
{
    registration_.start();
    auto const granted = fake_store::take(store_.grants_);
    registration_.on_new_era();
    granted(store_lease{5});
    CHECK(store_.puts_.empty());

    while (store_.grants_.empty())
    {
        loop_.run_one();
        loop_.restart();
    }
    fake_store::take(store_.grants_)(store_lease{6});
    auto const put = fake_store::take(store_.puts_);
    registration_.on_new_era();
    put.done_(base::success());
    bool left = false;
    registration_.shut_down([&] { left = true; });
    CHECK(left);
}
