#include "tools/load/scenario.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace tanagerlead::load
{

namespace
{

using nlohmann::json;

constexpr double default_patience_ms = 20000;

base::duration milliseconds_of(json const& from, char const* name, double none)
{
    return base::from_seconds(from.value(name, none) / 1e3);
}

length_range read_range(json const& from, char const* name)
{
    auto const member = from.find(name);
    if (member == from.end())
    {
        return {};
    }
    return {member->at(0).get<base::token_count>(),
            member->at(1).get<base::token_count>()};
}

thread_settings read_threads(json const& from)
{
    thread_settings threads;
    auto const member = from.find("threads");
    if (member != from.end())
    {
        threads.count_ = member->value("count", 0);
        threads.turns_ = member->value("turns", threads.turns_);
        threads.shared_tokens_ = member->value("shared_tokens", 0);
    }
    return threads;
}

workspace_load read_workspace(json const& from)
{
    workspace_load one;
    one.name_ = from.at("name").get<std::string>();
    one.key_ = from.value("key", "");
    one.tier_ = from.at("tier").get<std::string>();
    one.pool_ = from.at("pool").get<std::string>();
    one.kind_ = from.value("kind", "model") == "service" ? request_kind::service
                                                         : request_kind::model;
    one.rate_per_s_ = from.value("rate_per_s", 0.0);
    one.burst_ = from.value("burst", 1);
    one.start_ = milliseconds_of(from, "start_ms", 0);
    one.prompt_tokens_ = read_range(from, "prompt_tokens");
    one.output_tokens_ = read_range(from, "output_tokens");
    one.threads_ = read_threads(from);
    one.deadline_ = milliseconds_of(from, "deadline_ms", 0);
    one.non_idempotent_part_ = from.value("non_idempotent_part", 0.0);
    one.retries_ = from.value("retries", 0);
    return one;
}

/// Splits a total rate among the workspaces that name none: the n-th gets a
/// share of 1 / n^exponent.
void share_rate(json const& from, std::vector<workspace_load>& workspaces)
{
    auto const total = from.value("rate_per_s", 0.0);
    auto const exponent = from.value("zipf_exponent", 1.0);
    std::vector<workspace_load*> sharing;
    double sum = 0.0;
    for (auto& one : workspaces)
    {
        if (one.rate_per_s_ == 0.0)
        {
            sharing.push_back(&one);
            sum += std::pow(static_cast<double>(sharing.size()), -exponent);
        }
    }
    for (std::size_t i = 0; i < sharing.size(); ++i)
    {
        sharing[i]->rate_per_s_ =
            total * std::pow(static_cast<double>(i + 1), -exponent) / sum;
    }
}

base::result<void> check(scenario const& read)
{
    auto const wrong = [](std::string detail)
    {
        return base::fail(base::error_code::invalid_argument, "read scenario",
                          {}, std::move(detail));
    };
    if (read.length_ <= base::duration::zero())
    {
        return wrong("length_ms must be positive");
    }
    for (auto const& one : read.workspaces_)
    {
        for (auto const& range : {one.prompt_tokens_, one.output_tokens_})
        {
            if (range.least_ < 1 || range.most_ < range.least_)
            {
                return wrong(one.name_ + ": a range is [least, most], from 1");
            }
        }
        if (one.rate_per_s_ <= 0.0 || one.burst_ < 1 || one.threads_.turns_ < 1)
        {
            return wrong(one.name_ + ": rate, burst and turns are positive");
        }
    }
    return base::success();
}

} // namespace

base::result<scenario> read_scenario(std::string const& text)
{
    scenario read;
    try
    {
        auto const from = json::parse(text);
        read.seed_ = from.value("seed", read.seed_);
        read.length_ = milliseconds_of(from, "length_ms", 0);
        read.patience_ =
            milliseconds_of(from, "patience_ms", default_patience_ms);
        for (auto const& one : from.at("workspaces"))
        {
            read.workspaces_.push_back(read_workspace(one));
        }
        share_rate(from, read.workspaces_);
    }
    catch (json::exception const& error)
    {
        return base::fail(base::error_code::invalid_argument, "read scenario",
                          {}, error.what());
    }
    if (auto const checked = check(read); !checked)
    {
        return checked.error();
    }
    return read;
}

} // namespace tanagerlead::load
