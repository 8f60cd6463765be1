#include "platform/wire_protocol.hpp"
#include "src/entry/configuration_reader.hpp"
#include "src/entry/daemon_registration.hpp"
#include "src/entry/registry_reader.hpp"
#include "src/entry/store_follower.hpp"
#include "tests/entry/fake_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::entry;
using tanagerlead::test::fake_store;
using tanagerlead::test::store_error;

namespace
{

/// Keeps what a follower tells.
class recorder final : public store_reader
{
public:
    void on_items(std::vector<store_item> const& items) override
    {
        lists_.push_back(items);
    }
    void on_changes(std::vector<store_item> const& items) override
    {
        changes_.push_back(items);
    }
    void on_store_lost(base::error const&) override { ++lost_; }
    void on_store_back() override { ++back_; }

    std::vector<std::vector<store_item>> lists_;
    std::vector<std::vector<store_item>> changes_;
    int lost_ = 0;
    int back_ = 0;
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

TEST_GROUP(store_follower)
{
    net::asio::io_context loop_;
    fake_store store_;
    recorder seen_;
    store_follower follower_{loop_, store_, seen_, {"p/", {}}, 1};

    /// Runs the loop until a call waits in `calls`.
    template <class Call>
    void run_until(std::deque<Call> const& calls)
    {
        while (calls.empty())
        {
            loop_.run_one();
            loop_.restart();
        }
    }
};

TEST(store_follower, reads_all_pages_and_watches_from_the_first)
{
    follower_.start();
    fake_store::take(store_.lists_).done_(page({item("p/a", "1", 3)}, true, 7));
    auto const second = fake_store::take(store_.lists_);
    STRCMP_EQUAL("p/a", second.after_.c_str());
    second.done_(page({item("p/b", "2", 4)}, false, 9));
    LONGS_EQUAL(1, seen_.lists_.size());
    LONGS_EQUAL(2, seen_.lists_[0].size());
    // A change between the pages must not be missed.
    CHECK(store_.watches_.front().after_ == store_revision{7});
}

TEST(store_follower, goes_on_from_the_last_change)
{
    follower_.start();
    fake_store::take(store_.lists_).done_(page({}, false, 7));
    fake_store::take(store_.watches_)
        .done_(store_changes{{item("p/a", "1", 8)}, store_revision{8}});
    LONGS_EQUAL(1, seen_.changes_.size());
    CHECK(store_.watches_.front().after_ == store_revision{8});
}

TEST(store_follower, reads_again_when_the_history_is_gone)
{
    follower_.start();
    fake_store::take(store_.lists_).done_(page({}, false, 7));
    fake_store::take(store_.watches_)
        .done_(base::failure(store_error(base::error_code::not_found)));
    LONGS_EQUAL(0, seen_.lost_);
    fake_store::take(store_.lists_).done_(page({}, false, 20));
    CHECK(store_.watches_.front().after_ == store_revision{20});
}

TEST(store_follower, tells_an_outage_once_and_reads_all_when_it_ends)
{
    follower_.start();
    fake_store::take(store_.lists_).done_(page({}, false, 7));
    fake_store::take(store_.watches_)
        .done_(base::failure(store_error(base::error_code::unknown_effect)));
    for (int i = 0; i < 3; ++i)
    {
        run_until(store_.lists_);
        fake_store::take(store_.lists_)
            .done_(base::failure(store_error(base::error_code::unavailable)));
    }
    LONGS_EQUAL(1, seen_.lost_);
    run_until(store_.lists_);
    fake_store::take(store_.lists_).done_(page({}, false, 30));
    LONGS_EQUAL(1, seen_.back_);
    LONGS_EQUAL(2, seen_.lists_.size());
}

TEST(store_follower, hears_of_the_end_of_an_outage_before_the_items)
{
    // The registry keeps entries that lapsed in an outage only if it knows of
    // the outage when the list comes.
    follower_.start();
    fake_store::take(store_.lists_)
        .done_(base::failure(store_error(base::error_code::not_sent)));
    run_until(store_.lists_);
    LONGS_EQUAL(0, seen_.back_);
    fake_store::take(store_.lists_).done_(page({}, false, 1));
    LONGS_EQUAL(1, seen_.back_);
    LONGS_EQUAL(1, seen_.lists_.size());
}

TEST_GROUP(configuration_reader)
{
    platform::wire_protocol speech_;
    std::vector<routing::configuration_ptr> published_;
    configuration_reader reader_{speech_,
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

TEST(configuration_reader, stays_with_what_it_has_when_a_document_is_spoilt)
{
    reader_.on_document(R"({"Version":5})", "store");
    reader_.on_document("{", "store");
    reader_.on_changes({{"op/config", "", {}, true}});
    LONGS_EQUAL(1, published_.size());
    STRCMP_EQUAL(R"({"Version":5})", reader_.document().c_str());
}

TEST(configuration_reader, passes_over_other_keys)
{
    reader_.on_items({item("op/config2", R"({"Version":5})", 1)});
    LONGS_EQUAL(0, published_.size());
}

TEST_GROUP(registry_reader)
{
    net::asio::io_context loop_;
    platform::wire_protocol speech_;
    std::vector<std::vector<routing::target_info>> published_;
    registry_reader reader_{loop_, speech_,
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

TEST(registry_reader, one_bad_entry_takes_nothing_else_down)
{
    reader_.on_items({item("servers/a", target_entry("ready"), 1),
                      item("servers/b", "\xff{", 1),
                      item("servers/c", target_entry("ready"), 1)});
    LONGS_EQUAL(2, published_.back().size());
}

TEST(registry_reader, an_entry_that_turns_bad_names_no_target)
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

TEST(daemon_registration, lists_itself_under_its_lease_and_reads_the_others)
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

TEST(daemon_registration, takes_its_entry_back_when_it_leaves)
{
    registration_.start();
    fake_store::take(store_.grants_)(store_lease{5});
    fake_store::take(store_.puts_).done_(base::success());
    bool left = false;
    registration_.leave([&] { left = true; });
    CHECK(left);
    CHECK(store_.ended_.front() == store_lease{5});
}

TEST(daemon_registration, leaves_at_once_without_a_lease)
{
    registration_.start();
    bool left = false;
    registration_.leave([&] { left = true; });
    CHECK(left);
    fake_store::take(store_.grants_)(store_lease{5});
    CHECK(store_.puts_.empty());
}
