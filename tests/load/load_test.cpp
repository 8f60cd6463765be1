#include "tests/fakes/answer_text.hpp"
#include "tests/fakes/engine_server.hpp"
#include "tools/load/caller.hpp"
#include "tools/load/engine_logs.hpp"
#include "tools/load/event_reader.hpp"
#include "tools/load/report.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace std::chrono_literals;

namespace
{

char const* const scenario_text = R"({
  "seed": 5, "length_ms": 20000, "rate_per_s": 30, "zipf_exponent": 1,
  "workspaces": [
    {"name": "a", "tier": "gold", "pool": "p",
     "prompt_tokens": [10, 1000], "output_tokens": [1, 3]},
    {"name": "b", "tier": "silver", "pool": "p",
     "prompt_tokens": [70, 90], "output_tokens": [60, 70],
     "threads": {"count": 2, "turns": 3, "shared_tokens": 64}}]})";

fakes::engine_settings fast_engine()
{
    fakes::engine_settings settings;
    settings.decode_step_ = 1ms;
    return settings;
}

load::scenario read(std::string const& text)
{
    return load::read_scenario(text).value();
}

} // namespace

TEST_GROUP(scenario){};

TEST(scenario, a_rate_is_shared_by_rank)
{
    auto const read_back = read(scenario_text);
    DOUBLES_EQUAL(20.0, read_back.workspaces_[0].rate_per_s_, 1e-9);
    DOUBLES_EQUAL(10.0, read_back.workspaces_[1].rate_per_s_, 1e-9);
}

TEST(scenario, wrong_files_are_refused)
{
    for (auto const* text :
         {"", "{}", R"({"length_ms": 0, "workspaces": []})",
          R"({"length_ms": 1, "workspaces": [{"name": "a"}]})",
          R"({"length_ms": 1, "workspaces": [{"name": "a", "tier": "t",
              "pool": "p", "rate_per_s": 1, "prompt_tokens": [9, 1]}]})"})
    {
        CHECK_FALSE(load::read_scenario(text).has_value());
    }
}

TEST_GROUP(plan){};

TEST(plan, follows_from_the_seed)
{
    auto wanted = read(scenario_text);
    auto const one = load::make_plan(wanted);
    auto const same = load::make_plan(wanted);
    wanted.seed_ = 6;
    auto const other = load::make_plan(wanted);
    CHECK(one.size() == same.size());
    CHECK(one.back().expected_ == same.back().expected_);
    CHECK(one.back().expected_ != other.back().expected_);
}

TEST(plan, lengths_spread_a_hundredfold)
{
    base::token_count least = 1000;
    base::token_count most = 10;
    for (auto const& one : load::make_plan(read(scenario_text)))
    {
        if (one.workspace_ == 0)
        {
            auto const tokens =
                fakes::read_prompt(load::prompt_text(one)).tokens_;
            least = std::min(least, tokens);
            most = std::max(most, tokens);
        }
    }
    CHECK(least >= 10 && least < 15);
    CHECK(most <= 1000 && most > 700);
}

TEST(plan, later_turns_repeat_the_earlier_ones)
{
    std::vector<load::planned_request> turns;
    for (auto const& one : load::make_plan(read(scenario_text)))
    {
        if (one.workspace_ == 1)
        {
            turns.push_back(one);
        }
    }
    // Two conversations take turns; each starts with the shared words.
    auto const first = load::prompt_text(turns[0]);
    auto const second = load::prompt_text(turns[2]);
    auto const fresh = load::prompt_text(turns[6]);
    STRCMP_EQUAL(
        (first + turns[0].expected_ + '\n').c_str(),
        second.substr(0, first.size() + turns[0].expected_.size() + 1).c_str());
    LONGS_EQUAL(2, turns[6].messages_.size());
    STRCMP_EQUAL(turns[0].messages_[0].text_.c_str(),
                 turns[6].messages_[0].text_.c_str());
}

TEST_GROUP(event_reader){};

TEST(event_reader, events_may_be_split_anywhere)
{
    std::string const bytes = "id: 1\ndata: a b\n\nevent: outcome\r\n"
                              "data:{}\r\n\r\ndata: cut";
    for (std::size_t at = 0; at <= bytes.size(); ++at)
    {
        std::string seen;
        load::event_reader reader{[&](load::server_event const& event)
                                  {
                                      seen +=
                                          event.name_ + '|' + event.data_ + ';';
                                  }};
        reader.add(std::string_view{bytes}.substr(0, at));
        reader.add(std::string_view{bytes}.substr(at));
        STRCMP_EQUAL("|a b;outcome|{};", seen.c_str());
    }
}

TEST_GROUP(report){};

TEST(report, percentiles_are_values_that_occurred)
{
    std::vector<base::duration> const values{1ms, 2ms, 3ms, 4ms};
    CHECK(load::percentile(values, 0.5) == 2ms);
    CHECK(load::percentile(values, 0.95) == 4ms);
    CHECK(load::percentile(values, 0.0) == 1ms);
    CHECK(load::percentile({}, 0.5) == 0ms);
}

TEST(report, prefill_is_needed_once_a_block)
{
    auto const wanted = read(scenario_text);
    std::vector<load::planned_request> plan;
    for (auto const& one : load::make_plan(wanted))
    {
        if (one.workspace_ == 1 && plan.size() < 3)
        {
            plan.push_back(one);
        }
    }
    std::vector<load::request_result> results(3);
    for (auto& one : results)
    {
        one.workspace_ = 1;
        one.kind_ = load::result_kind::complete;
    }
    auto const tokens = [&](std::size_t i)
    {
        return fakes::read_prompt(load::prompt_text(plan[i])).tokens_;
    };
    auto const given =
        (tokens(0) + plan[0].output_tokens_) / fakes::cache_block_tokens;
    LONGS_EQUAL(tokens(0) + (tokens(1) - 64) +
                    (tokens(2) - given * fakes::cache_block_tokens),
                load::needed_prefill(plan, results, wanted));
    results[0].kind_ = load::result_kind::unknown;
    LONGS_EQUAL(tokens(1) + (tokens(2) - 64),
                load::needed_prefill(plan, results, wanted));
}

TEST(report, refusals_are_held_against_the_logs)
{
    auto const wanted = read(scenario_text);
    std::vector<load::request_result> results(2);
    for (auto& one : results)
    {
        one.kind_ = load::result_kind::refused;
        one.cause_ = "overloaded";
    }
    results[0].id_ = "ran";
    results[1].id_ = "did not";
    load::engine_logs after;
    after.dispatches_ = {{"ran", 1}, {"twice", 2}};
    std::vector<load::planned_request> const plan(2);
    auto const report = load::make_report(wanted, plan, results, {}, after);
    LONGS_EQUAL(1, report.false_refusals_);
    LONGS_EQUAL(1, report.doubled_);
    LONGS_EQUAL(2, report.tiers_[0].refused_.at("overloaded"));
}

TEST_GROUP(caller)
{
    load::scenario scenario_ = read(scenario_text);
    std::vector<load::planned_request> plan_ = load::make_plan(scenario_);
    fakes::engine_server engine_{
        {"e", {{"127.0.0.1", 0}, 8}, fast_engine(), [] {
         }}};

    load::request_result send(load::planned_request const& request)
    {
        load::entry_cache entries{{engine_.address()}, true};
        load::caller sender{scenario_, entries, true};
        return sender.run(request, base::steady_clock{}.now());
    }
};

TEST(caller, an_engine_gives_the_expected_answer)
{
    CHECK(engine_.start().has_value());
    auto const result = send(plan_[0]);
    STRCMP_EQUAL("complete", to_string(result.kind_));
    CHECK(result.in_time_);
    LONGS_EQUAL(plan_[0].output_tokens_ - 1, result.gaps_.size());
}

TEST(caller, another_requests_answer_is_wrong)
{
    CHECK(engine_.start().has_value());
    auto request = plan_[0];
    request.messages_[0].text_ += " more";
    STRCMP_EQUAL("wrong", to_string(send(request).kind_));
}

TEST(caller, a_target_that_is_gone_is_no_connection)
{
    CHECK(engine_.start().has_value());
    engine_.stop();
    auto const result = send(plan_[0]);
    STRCMP_EQUAL("failed", to_string(result.kind_));
    STRCMP_EQUAL("no connection", result.cause_.c_str());
}
