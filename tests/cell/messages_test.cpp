#include "src/base/random.hpp"
#include "src/cell/messages.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace std::chrono_literals;

namespace
{
constexpr base::time_point sent_at{10s};
constexpr std::size_t most_bytes = 1200;

sched::work_item some_item()
{
    sched::work_item item;
    item.request_ = {7, 8};
    item.entry_ = base::daemon_id{"d1"};
    item.workspace_ = base::workspace_id{"brest"};
    item.pool_ = base::pool_id{"report"};
    item.tier_ = base::tier{1};
    item.prompt_tokens_ = 900;
    item.max_output_tokens_ = 64;
    item.prefix_ = {1, 2, 3};
    item.fingerprint_ = 5;
    item.received_ = sent_at - 2s;
    item.deadline_ = sent_at + 3s;
    return item;
}

cell::request_update some_update()
{
    cell::request_update update;
    update.cell_ = base::cell_id{"report/brest/0"};
    update.request_ = {7, 8};
    update.revision_ = cell::revision{4};
    update.state_ = cell::request_state::waiting;
    update.item_ = some_item();
    cell::numbered_report report;
    report.revision_ = cell::revision{3};
    report.report_.request_ = {7, 8};
    report.report_.target_ = base::target_id{"r1"};
    report.report_.event_ = sched::dispatch_event::not_sent;
    update.reports_ = {report};
    return update;
}

std::vector<cell::message> one_of_each()
{
    base::cell_id const id{"report/brest/0"};
    return {some_update(),
            cell::update_acknowledgement{id, cell::cell_epoch{3}, {7, 8}, {}},
            cell::decision_message{id,
                                   cell::cell_epoch{3},
                                   {7, 8},
                                   9,
                                   base::target_id{"r1"},
                                   {},
                                   2s,
                                   true},
            cell::decision_answer{id, {7, 8}, 9, true},
            cell::cell_heartbeat{
                id, cell::cell_epoch{3}, base::tier{1}, 1s, {4, 5}},
            cell::status_query{id, {{1, 2}, {3, 4}}},
            cell::not_held{id, {{1, 2}}},
            cell::suspicion_notice{{7, {{base::target_id{"r1"}, 3s}}, 1s}}};
}

std::string encoded()
{
    return cell::encode(one_of_each(), most_bytes, sent_at).at(0);
}
} // namespace

TEST_GROUP(messages){};

TEST(messages, every_kind_survives_the_wire)
{
    auto const read = cell::decode(encoded(), sent_at);
    CHECK(read.has_value());
    LONGS_EQUAL(std::variant_size_v<cell::message>, read.value().size());
    // Encoding is a function of the values, so equal bytes are equal values.
    auto const again = cell::encode(read.value(), most_bytes, sent_at);
    CHECK(again.at(0) == encoded());
}

TEST(messages, times_travel_as_durations)
{
    constexpr base::time_point other_clock{500s};
    auto const read = cell::decode(encoded(), other_clock);
    auto const& update = std::get<cell::request_update>(read.value().at(0));
    CHECK(update.item_->received_ == other_clock - 2s);
    CHECK(update.item_->deadline_ == other_clock + 3s);
}

TEST(messages, many_messages_take_several_payloads_in_order)
{
    std::vector<cell::message> const many(40, some_update());
    std::size_t seen = 0;
    for (auto const& payload : cell::encode(many, most_bytes, sent_at))
    {
        CHECK(payload.size() <= most_bytes);
        seen += cell::decode(payload, sent_at).value().size();
    }
    LONGS_EQUAL(many.size(), seen);
}

TEST(messages, long_prefix_is_cut_or_left_out)
{
    auto update = some_update();
    update.item_->prefix_.assign(5000, 1);
    update.item_->workspace_ = base::workspace_id{std::string(128, 'w')};
    update.cell_ = base::cell_id{std::string(128, 'c')};
    update.item_->pool_ = base::pool_id{std::string(128, 'p')};
    update.item_->entry_ = base::daemon_id{std::string(128, 'e')};
    update.reports_.assign(4, update.reports_.at(0));
    auto const payloads = cell::encode({update}, most_bytes, sent_at);
    LONGS_EQUAL(1, payloads.size());
    CHECK(payloads[0].size() <= most_bytes);
}

TEST(messages, message_out_of_bounds_is_not_sent)
{
    cell::status_query query;
    query.requests_.resize(1000);
    cell::decision_answer named;
    named.cell_ = base::cell_id{std::string(129, 'c')};
    CHECK(cell::encode({query, named}, most_bytes, sent_at).empty());
}

TEST(messages, every_truncation_is_refused)
{
    auto const whole = encoded();
    for (std::size_t length = 0; length < whole.size(); ++length)
    {
        auto const read = cell::decode(whole.substr(0, length), sent_at);
        CHECK_FALSE(read.has_value());
        CHECK(read.error().code_ == base::error_code::corrupt);
    }
    CHECK_FALSE(cell::decode(whole + "x", sent_at).has_value());
}

TEST(messages, changed_bytes_never_do_harm)
{
    constexpr int rounds = 50000;
    base::random_source random{42};
    auto const whole = encoded();
    int refused = 0;
    for (int i = 0; i < rounds; ++i)
    {
        auto bytes = whole;
        auto const changes = 1 + random.below(4);
        for (std::uint64_t c = 0; c < changes; ++c)
        {
            bytes[random.below(bytes.size())] = static_cast<char>(random());
        }
        auto const read = cell::decode(bytes, sent_at);
        refused += read.has_value() ? 0 : 1;
        if (read.has_value())
        {
            // What was accepted is in bounds, so it can be sent on.
            CHECK_FALSE(
                cell::encode(read.value(), most_bytes, sent_at).empty());
        }
    }
    CHECK(refused > rounds / 10);
}

TEST(messages, noise_of_any_length_is_refused)
{
    base::random_source random{43};
    for (int i = 0; i < 5000; ++i)
    {
        std::string bytes(random.below(3000), '\0');
        for (auto& byte : bytes)
        {
            byte = static_cast<char>(random());
        }
        auto const read = cell::decode(bytes, sent_at);
        CHECK(!read.has_value() || read.value().empty());
    }
}
