#include "tools/load/report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace tanagerlead::load
{

namespace
{

using nlohmann::json;

load_summary& summary_of(std::vector<load_summary>& list,
                         std::string const& name)
{
    auto const found = std::find_if(list.begin(), list.end(),
                                    [&](load_summary const& one)
                                    { return one.name_ == name; });
    if (found != list.end())
    {
        return *found;
    }
    list.emplace_back();
    list.back().name_ = name;
    return list.back();
}

void add(load_summary& to, request_result const& result)
{
    ++to.offered_;
    to.in_time_ += result.in_time_ ? 1 : 0;
    switch (result.kind_)
    {
    case result_kind::complete:
        ++to.complete_;
        to.first_tokens_.push_back(result.first_token_);
        to.gaps_.insert(to.gaps_.end(), result.gaps_.begin(),
                        result.gaps_.end());
        break;
    case result_kind::refused:
        ++to.refused_[result.cause_];
        break;
    case result_kind::unknown:
        ++to.unknown_;
        break;
    case result_kind::cut:
        ++to.cut_;
        break;
    case result_kind::wrong:
        ++to.wrong_;
        break;
    case result_kind::failed:
        ++to.failed_[result.cause_];
        break;
    }
}

void sort_times(std::vector<load_summary>& list)
{
    for (auto& one : list)
    {
        std::sort(one.first_tokens_.begin(), one.first_tokens_.end());
        std::sort(one.gaps_.begin(), one.gaps_.end());
    }
}

std::int64_t total(std::map<std::string, std::int64_t> const& counts)
{
    std::int64_t sum = 0;
    for (auto const& [cause, count] : counts)
    {
        sum += count;
    }
    return sum;
}

json to_json(load_summary const& one, base::duration length)
{
    auto const ms = [](std::vector<base::duration> const& values, double q)
    {
        return base::milliseconds(percentile(values, q));
    };
    auto const& first = one.first_tokens_;
    return {{"name", one.name_},
            {"offered", one.offered_},
            {"complete", one.complete_},
            {"in_time", one.in_time_},
            {"goodput_part", one.goodput_part()},
            {"goodput_per_s",
             static_cast<double>(one.in_time_) / base::seconds(length)},
            {"first_token_ms",
             {{"p50", ms(first, 0.5)},
              {"p95", ms(first, 0.95)},
              {"p99", ms(first, 0.99)}}},
            {"between_tokens_ms", {{"p95", ms(one.gaps_, 0.95)}}},
            {"refused", one.refused_},
            {"unknown", one.unknown_},
            {"cut", one.cut_},
            {"wrong", one.wrong_},
            {"failed", one.failed_}};
}

template <class... Args>
void print(std::string& to, char const* format, Args... args)
{
    std::array<char, 512> line{};
    std::snprintf(line.data(), line.size(), format, args...);
    to += line.data();
}

void print_counts(std::string& to, char const* what,
                  std::map<std::string, std::int64_t> const& counts)
{
    for (auto const& [cause, count] : counts)
    {
        print(to, "    %s, %s: %lld\n", what, cause.c_str(),
              static_cast<long long>(count));
    }
}

void print_summary(std::string& to, load_summary const& one,
                   base::duration length)
{
    auto const& first = one.first_tokens_;
    print(to,
          "%-14s %7lld %8lld %6.1f%% %8.2f %7.0f %7.0f %7.0f %8.1f "
          "%7lld %7lld %4lld %5lld %6lld\n",
          one.name_.c_str(), static_cast<long long>(one.offered_),
          static_cast<long long>(one.complete_), 100.0 * one.goodput_part(),
          static_cast<double>(one.in_time_) / base::seconds(length),
          base::milliseconds(percentile(first, 0.5)),
          base::milliseconds(percentile(first, 0.95)),
          base::milliseconds(percentile(first, 0.99)),
          base::milliseconds(percentile(one.gaps_, 0.95)),
          static_cast<long long>(total(one.refused_)),
          static_cast<long long>(one.unknown_),
          static_cast<long long>(one.cut_), static_cast<long long>(one.wrong_),
          static_cast<long long>(total(one.failed_)));
    print_counts(to, "refused", one.refused_);
    print_counts(to, "failed", one.failed_);
}

void add_path_times(load_report& report,
                    std::vector<request_result> const& results,
                    engine_logs const& after)
{
    for (auto const& one : results)
    {
        auto const inside = after.first_tokens_.find(one.id_);
        if (one.kind_ == result_kind::complete &&
            inside != after.first_tokens_.end())
        {
            report.path_times_.push_back(one.first_token_ - one.late_ -
                                         inside->second);
        }
    }
    std::sort(report.path_times_.begin(), report.path_times_.end());
}

void check_dispatches(load_report& report,
                      std::vector<request_result> const& results,
                      engine_logs const& after)
{
    for (auto const& [id, count] : after.dispatches_)
    {
        report.doubled_ += count > 1 ? 1 : 0;
    }
    for (auto const& one : results)
    {
        auto const told = one.kind_ == result_kind::refused;
        report.false_refusals_ +=
            told && after.dispatches_.count(one.id_) > 0 ? 1 : 0;
    }
}

} // namespace

double load_summary::goodput_part() const
{
    return offered_ == 0
               ? 0.0
               : static_cast<double>(in_time_) / static_cast<double>(offered_);
}

base::duration percentile(std::vector<base::duration> const& sorted, double q)
{
    if (sorted.empty())
    {
        return {};
    }
    auto const rank = std::ceil(q * static_cast<double>(sorted.size()));
    auto const index = std::max<std::size_t>(static_cast<std::size_t>(rank), 1);
    return sorted[std::min(index, sorted.size()) - 1];
}

load_report make_report(scenario const& from,
                        std::vector<planned_request> const& plan,
                        std::vector<request_result> const& results,
                        engine_logs const& before, engine_logs const& after)
{
    load_report report;
    report.length_ = from.length_;
    for (auto const& one : from.workspaces_)
    {
        summary_of(report.tiers_, one.tier_);
        summary_of(report.workspaces_, one.name_);
    }
    for (auto const& one : results)
    {
        auto const& workspace = from.workspaces_[one.workspace_];
        add(summary_of(report.tiers_, workspace.tier_), one);
        add(summary_of(report.workspaces_, workspace.name_), one);
        report.latest_start_ = std::max(report.latest_start_, one.late_);
    }
    sort_times(report.tiers_);
    sort_times(report.workspaces_);
    report.prefilled_tokens_ =
        after.prefilled_tokens_ - before.prefilled_tokens_;
    report.needed_tokens_ = needed_prefill(plan, results, from);
    report.missing_logs_ = after.missing_;
    check_dispatches(report, results, after);
    add_path_times(report, results, after);
    return report;
}

std::string to_text(load_report const& report)
{
    std::string text;
    print(text, "%-14s %7s %8s %7s %8s %7s %7s %7s %8s %7s %7s %4s %5s %6s\n",
          "tier", "offered", "complete", "in time", "/s", "ft p50", "ft p95",
          "ft p99", "gap p95", "refused", "unknown", "cut", "wrong", "failed");
    for (auto const& one : report.tiers_)
    {
        print_summary(text, one, report.length_);
    }
    text += "by workspace\n";
    for (auto const& one : report.workspaces_)
    {
        print_summary(text, one, report.length_);
    }
    print(text, "prefill: %lld tokens, needed %lld, wasted %lld\n",
          static_cast<long long>(report.prefilled_tokens_),
          static_cast<long long>(report.needed_tokens_),
          static_cast<long long>(report.wasted_tokens()));
    print(text,
          "dispatched more than once: %lld, refused but run: %lld, "
          "logs missing: %d, latest start: %.1f ms\n",
          static_cast<long long>(report.doubled_),
          static_cast<long long>(report.false_refusals_), report.missing_logs_,
          base::milliseconds(report.latest_start_));
    print(text,
          "path and queues outside the engine: p50 %.2f ms, p99 %.2f ms\n",
          base::milliseconds(percentile(report.path_times_, 0.5)),
          base::milliseconds(percentile(report.path_times_, 0.99)));
    return text;
}

std::string to_json(load_report const& report)
{
    json out{
        {"length_s", base::seconds(report.length_)},
        {"prefilled_tokens", report.prefilled_tokens_},
        {"needed_tokens", report.needed_tokens_},
        {"wasted_tokens", report.wasted_tokens()},
        {"doubled", report.doubled_},
        {"false_refusals", report.false_refusals_},
        {"missing_logs", report.missing_logs_},
        {"latest_start_ms", base::milliseconds(report.latest_start_)},
        {"path_ms",
         {{"p50", base::milliseconds(percentile(report.path_times_, 0.5))},
          {"p99", base::milliseconds(percentile(report.path_times_, 0.99))}}},
        {"tiers", json::array()},
        {"workspaces", json::array()}};
    for (auto const& one : report.tiers_)
    {
        out["tiers"].push_back(to_json(one, report.length_));
    }
    for (auto const& one : report.workspaces_)
    {
        out["workspaces"].push_back(to_json(one, report.length_));
    }
    return out.dump();
}

} // namespace tanagerlead::load
