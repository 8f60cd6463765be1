#include "src/config/config_store.hpp"
#include "src/external/etcd_store.hpp"
#include "tests/config/sample.hpp"
#include "tests/fakes/fake_key_value.hpp"
#include "tests/fakes/hooked_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace std::chrono_literals;
using base::config_version;
using base::error_code;
using config::patch_kind;
using config::submit_status;

namespace
{

config::patch_request slots_patch(std::uint64_t base, char const* id, int slots)
{
    return {config_version{base},
            id,
            {patch_kind::merge, R"({"targets": {"r1": {"slots": )" +
                                    std::to_string(slots) + "}}}"}};
}

config::patch_request first_patch()
{
    return {config_version{}, "first", {patch_kind::merge, sample_document}};
}

} // namespace

TEST_GROUP(config_store)
{
    base::manual_clock clock_;
    fakes::fake_key_value fake_{{"127.0.0.1", 0}, clock_};
    std::unique_ptr<external::etcd_store> etcd_;
    std::unique_ptr<fakes::hooked_store> hooked_;
    std::unique_ptr<config::config_store> store_;

    void setup() override
    {
        CHECK(fake_.start().has_value());
        external::etcd_settings settings;
        settings.endpoints_ = {fake_.local_address()};
        settings.timeouts_.read_ = 300ms;
        etcd_ = std::make_unique<external::etcd_store>(settings);
        hooked_ =
            std::make_unique<fakes::hooked_store>(*etcd_, config::head_key);
        store_ = std::make_unique<config::config_store>(*hooked_);
    }

    void teardown() override
    {
        fake_.stop();
    }

    void accept(config::patch_request const& request, std::uint64_t version)
    {
        auto const answer = store_->submit(request);
        CHECK(answer.has_value());
        STRCMP_EQUAL("", config::to_lines(answer.value().errors_).c_str());
        CHECK(answer.value().status_ == submit_status::accepted);
        CHECK(answer.value().version_ == config_version{version});
    }

    int slots()
    {
        return store_->read_current()
            .value()
            .configuration_->targets_[1]
            .slots_;
    }
};

TEST(config_store, first_write_is_version_one)
{
    CHECK(store_->read_head().value().version_ == config_version{});
    accept(first_patch(), 1);
    CHECK_EQUAL(8, slots());
    accept(slots_patch(1, "second", 9), 2);
    CHECK_EQUAL(9, slots());
    CHECK_EQUAL(2, store_->history().value().size());
    auto const old = store_->read_version(config_version{1});
    CHECK_EQUAL(8, old.value().configuration_->targets_[1].slots_);
}

TEST(config_store, stale_base_is_a_conflict_that_tells_what_changed)
{
    accept(first_patch(), 1);
    accept(slots_patch(1, "second", 9), 2);
    auto const answer = store_->submit(slots_patch(1, "third", 10)).value();
    CHECK(answer.status_ == submit_status::conflict);
    CHECK(answer.version_ == config_version{2});
    CHECK_EQUAL(1, answer.changes_.size());
    STRCMP_EQUAL("/targets/r1/slots", answer.changes_[0].pointer_.c_str());
}

TEST(config_store, of_two_that_race_one_wins)
{
    accept(first_patch(), 1);
    config::config_store other{*etcd_};
    hooked_->before_commit_ = [&]
    {
        CHECK(other.submit(slots_patch(1, "other", 20)).value().status_ ==
              submit_status::accepted);
    };
    auto const sections = fake_.keys_under(config::section_prefix);
    auto const answer = store_->submit(slots_patch(1, "mine", 10)).value();
    CHECK(answer.status_ == submit_status::conflict);
    CHECK(answer.version_ == config_version{2});
    CHECK_EQUAL(20, slots());
    // The loser's page is gone again.
    CHECK_EQUAL(sections + 1, fake_.keys_under(config::section_prefix));
}

TEST(config_store, lost_answers_are_settled)
{
    accept(first_patch(), 1);
    hooked_->before_commit_ = [&]
    {
        fake_.set_faults({.lose_answers_ = 1});
    };
    accept(slots_patch(1, "second", 9), 2);
    CHECK_EQUAL(1, fake_.log().lost_answers_);
    CHECK_EQUAL(9, slots());
}

TEST(config_store, lost_answers_of_sections_are_settled)
{
    fake_.set_faults({.lose_answers_ = 1});
    accept(first_patch(), 1);
    CHECK_EQUAL(1, fake_.log().lost_answers_);
}

TEST(config_store, unknown_effect_is_told_and_a_repeat_settles_it)
{
    accept(first_patch(), 1);
    hooked_->before_commit_ = [&]
    {
        fake_.set_faults({.lose_answers_ = 1000});
    };
    auto const lost = store_->submit(slots_patch(1, "second", 9));
    CHECK(!lost && lost.error().code_ == error_code::unknown_effect);
    fake_.set_faults({});
    accept(slots_patch(1, "second", 9), 2);
    CHECK_EQUAL(2, store_->history().value().size());
}

TEST(config_store, an_id_used_for_another_patch_is_a_conflict)
{
    accept(first_patch(), 1);
    accept(slots_patch(1, "second", 9), 2);
    auto const answer = store_->submit(slots_patch(1, "second", 10)).value();
    CHECK(answer.status_ == submit_status::conflict);
    CHECK(answer.patch_id_reused_);
}

TEST(config_store, outages_and_limits_have_no_effect)
{
    accept(first_patch(), 1);
    struct fault_case
    {
        fakes::key_value_faults faults_;
        error_code code_;
    };
    fault_case const cases[] = {
        {{.outage_ = fakes::outage::refuse}, error_code::not_sent},
        {{.writes_per_second_ = 1}, error_code::rate_limited},
    };
    for (auto const& fault : cases)
    {
        hooked_->before_commit_ = [&]
        {
            fake_.set_faults(fault.faults_);
        };
        auto const answer = store_->submit(slots_patch(1, "second", 9));
        CHECK(!answer && answer.error().code_ == fault.code_);
        fake_.set_faults({});
        CHECK_EQUAL(8, slots());
    }
}

TEST(config_store, wrong_patches_write_nothing)
{
    accept(first_patch(), 1);
    auto const writes = fake_.log().writes_;
    auto const answer = store_->submit(slots_patch(1, "second", 0)).value();
    CHECK(answer.status_ == submit_status::invalid);
    STRCMP_EQUAL("/targets/r1/slots", answer.errors_[0].pointer_.c_str());
    CHECK(store_->submit(slots_patch(1, "", 9)).value().status_ ==
          submit_status::invalid);
    CHECK_EQUAL(writes, fake_.log().writes_);
}

TEST(config_store, old_versions_are_deleted)
{
    accept(first_patch(), 1);
    auto const versions = config::kept_versions + 3;
    for (std::uint64_t i = 1; i < versions; ++i)
    {
        accept(slots_patch(i, ("p" + std::to_string(i)).c_str(),
                           static_cast<int>(i % 50 + 10)),
               i + 1);
    }
    CHECK_EQUAL(config::kept_versions, store_->history().value().size());
    CHECK(store_->read_version(config_version{1}).error().code_ ==
          error_code::not_found);
    CHECK(store_->read_version(config_version{versions}).has_value());
    // Four unchanged sections and a page of targets for each version.
    CHECK_EQUAL(static_cast<int>(config::kept_versions) + 4,
                fake_.keys_under(config::section_prefix));
}

TEST_GROUP(page){};

TEST(page, an_edit_of_a_large_configuration_changes_one_page)
{
    auto before =
        config::parse_configuration(sample_document, {}).configuration_;
    auto const pattern = before.workspaces_[0];
    constexpr int count = 12'000;
    for (int i = 0; i < count; ++i)
    {
        before.workspaces_.push_back(pattern);
        before.workspaces_.back().id_ =
            base::workspace_id{"w" + std::to_string(i)};
        before.workspaces_.back().key_hashes_.clear();
    }
    auto const pages = config::split_into_pages(before, {});
    auto after = before;
    after.workspaces_.back().weight_ = 3;
    auto const changed = config::split_into_pages(after, pages);
    CHECK_EQUAL(pages.size(), changed.size());
    int differing = 0;
    for (std::size_t i = 0; i < pages.size(); ++i)
    {
        differing += pages[i].text_ == changed[i].text_ ? 0 : 1;
        CHECK(pages[i].text_.size() < 4 * config::page_bytes);
    }
    CHECK_EQUAL(1, differing);
    auto const joined = config::join_pages(changed, {});
    CHECK_EQUAL(count + 2, joined.value().workspaces_.size());
}

TEST(page, count_changes_only_when_far_off)
{
    constexpr auto unit = config::page_bytes;
    CHECK_EQUAL(1, config::page_count(0, 0));
    CHECK_EQUAL(1, config::page_count(2 * unit, 1));
    CHECK_EQUAL(2, config::page_count(2 * unit + 2, 1));
    CHECK_EQUAL(2, config::page_count(unit, 2));
    CHECK_EQUAL(1, config::page_count(unit / 4, 2));
}
