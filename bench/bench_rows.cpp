#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace
{

using nlohmann::json;

/// One run of the load driver under one policy.
struct policy_run
{
    std::string policy_;
    json report_;
};

double number(json const& from, char const* pointer)
{
    return from.value(json::json_pointer{pointer}, 0.0);
}

json tier_of(json const& report, std::string const& name)
{
    for (auto const& one : report.at("tiers"))
    {
        if (one.at("name") == name)
        {
            return one;
        }
    }
    return json::object();
}

/// Sum of a member over all tiers; members that count by cause are summed.
double total(json const& report, char const* member)
{
    double sum = 0;
    for (auto const& one : report.at("tiers"))
    {
        auto const& value = one.at(member);
        if (!value.is_object())
        {
            sum += value.get<double>();
            continue;
        }
        for (auto const& [cause, count] : value.items())
        {
            sum += count.get<double>();
        }
    }
    return sum;
}

/// Worst p95 of the first token among workspaces whose names begin so, ms.
double worst_first_token(json const& report, std::string const& prefix)
{
    double worst = 0;
    for (auto const& one : report.at("workspaces"))
    {
        if (one.at("name").get<std::string>().rfind(prefix, 0) == 0)
        {
            worst = std::max(worst, number(one, "/first_token_ms/p95"));
        }
    }
    return worst;
}

/// A part in per cent; a dash when the tier was not offered.
std::string part_in_time(json const& report, char const* tier)
{
    auto const one = tier_of(report, tier);
    if (!one.contains("offered"))
    {
        return "-";
    }
    return std::to_string(std::lround(100.0 * number(one, "/goodput_part")));
}

std::string ratio(double value, double against)
{
    if (against <= 0)
    {
        return "-";
    }
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value / against);
    return text;
}

void print_head()
{
    std::puts("| scenario | policy | gold % | silver % | bronze % | in time /s "
              "| ratio | gold first token p95, ms | small p95, ms | wasted "
              "prefill | ratio | refused | unknown | cut | failed | wrong "
              "| twice | false not_run |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
              "| --- | --- | --- | --- | --- | --- | --- | --- |");
}

/// Ratios are against the run in `against`.
void print_row(std::string const& scenario, policy_run const& run,
               policy_run const& against)
{
    auto const& report = run.report_;
    auto const rate = total(report, "goodput_per_s");
    auto const wasted = number(report, "/wasted_tokens");
    std::printf(
        "| %s | %s | %s | %s | %s | %.1f | %s | %.0f | %.0f | %.0f | %s "
        "| %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f |\n",
        scenario.c_str(), run.policy_.c_str(),
        part_in_time(report, "gold").c_str(),
        part_in_time(report, "silver").c_str(),
        part_in_time(report, "bronze").c_str(), rate,
        ratio(rate, total(against.report_, "goodput_per_s")).c_str(),
        number(tier_of(report, "gold"), "/first_token_ms/p95"),
        worst_first_token(report, "small"), wasted,
        ratio(wasted, number(against.report_, "/wasted_tokens")).c_str(),
        total(report, "refused"), total(report, "unknown"),
        total(report, "cut"), total(report, "failed"), total(report, "wrong"),
        number(report, "/doubled"), number(report, "/false_refusals"));
}

} // namespace

/// `bench_rows --head`, or `bench_rows SCENARIO POLICY=FILE...`: rows of a
/// Markdown table; ratios are against the last policy.
int main(int argc, char** argv)
{
    if (argc == 2 && std::string{argv[1]} == "--head")
    {
        print_head();
        return 0;
    }
    std::vector<policy_run> runs;
    for (int i = 2; i < argc; ++i)
    {
        std::string const argument = argv[i];
        auto const equals = argument.find('=');
        std::ifstream file{argument.substr(equals + 1)};
        auto report = json::parse(file, nullptr, false);
        if (!report.is_object())
        {
            std::fprintf(stderr, "bench_rows: no report in %s\n", argv[i]);
            return 1;
        }
        runs.push_back({argument.substr(0, equals), std::move(report)});
    }
    for (auto const& run : runs)
    {
        print_row(argv[1], run, runs.back());
    }
    return 0;
}
