#include "src/entry/origin_store.hpp"
#include "src/entry/report_codec.hpp"
#include "tests/entry/fake_store.hpp"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace tanagerlead;
using namespace tanagerlead::entry;
using tanagerlead::test::fake_store;
using tanagerlead::test::store_error;

namespace
{

routing::stream_message batch(std::uint64_t attempt)
{
    return {{{routing::attempt_digest{attempt}, routing::version_digest{7}}},
            {}};
}

} // namespace

TEST_GROUP(origin_store)
{
    fake_store store_;
    std::vector<routing::stream_message> found_;
    origin_store origins_{store_, "d1", 5,
                          [this](routing::stream_message message)
                          {
                              found_.push_back(std::move(message));
                          }};

    void grant(std::uint64_t lease)
    {
        fake_store::take(store_.grants_)(store_lease{lease});
    }

    static store_item item(std::string const& key, std::string const& value)
    {
        return {key, value, store_revision{1}, false};
    }
};

TEST(origin_store, writes_each_batch_under_its_own_key_and_one_lease)
{
    origins_.write(batch(1));
    origins_.write(batch(2));
    LONGS_EQUAL(1, store_.grants_.size());
    LONGS_EQUAL(0, store_.puts_.size());
    grant(9);
    origins_.write(batch(3));
    LONGS_EQUAL(0, store_.grants_.size());
    LONGS_EQUAL(3, store_.puts_.size());
    STRCMP_EQUAL("tanagerlead/origins/d1-5-1", store_.puts_[0].key_.c_str());
    STRCMP_EQUAL("tanagerlead/origins/d1-5-3", store_.puts_[2].key_.c_str());
    CHECK(store_.puts_[2].lease_ == store_lease{9});
    auto const written = read_stream_message(store_.puts_[2].value_);
    CHECK(written->origins_ == batch(3).origins_);
}

TEST(origin_store, reads_all_pages_and_passes_over_damaged_items)
{
    auto first = batch(1);
    auto second = batch(2);
    origins_.read();
    origins_.read();
    LONGS_EQUAL(1, store_.lists_.size());
    fake_store::take(store_.lists_)
        .done_(store_page{
            {item("k1", write_stream_message(first)), item("k2", "damaged")},
            true,
            {}});
    auto next = fake_store::take(store_.lists_);
    STRCMP_EQUAL("k2", next.after_.c_str());
    next.done_(
        store_page{{item("k3", write_stream_message(second))}, false, {}});
    LONGS_EQUAL(2, found_.size());
    CHECK(found_[1].origins_ == second.origins_);
    origins_.read();
    LONGS_EQUAL(1, store_.lists_.size());
}

TEST(origin_store, tries_again_after_the_store_was_away)
{
    origins_.write(batch(1));
    fake_store::take(store_.grants_)(
        base::failure(store_error(base::error_code::unavailable)));
    origins_.write(batch(2));
    grant(9);
    LONGS_EQUAL(2, store_.puts_.size());
    origins_.read();
    fake_store::take(store_.lists_)
        .done_(base::failure(store_error(base::error_code::unavailable)));
    origins_.read();
    LONGS_EQUAL(1, store_.lists_.size());
}

// Its id may name the lease of another daemon by now.
TEST(origin_store, uses_no_lease_of_an_earlier_era)
{
    origins_.write(batch(1));
    grant(9);
    origins_.on_new_era();
    origins_.write(batch(2));
    LONGS_EQUAL(1, store_.puts_.size());
    grant(3);
    CHECK(store_.puts_[1].lease_ == store_lease{3});
}

TEST(origin_store, a_reading_without_an_answer_holds_up_no_other)
{
    auto kept = batch(1);
    origins_.read();
    std::this_thread::sleep_for(prefix_reader::share_time);
    origins_.read();
    LONGS_EQUAL(2, store_.lists_.size());
    store_.lists_[1].done_(
        store_page{{item("k1", write_stream_message(kept))}, false, {}});
    LONGS_EQUAL(1, found_.size());
}
