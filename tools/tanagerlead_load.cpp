#include "tools/load/caller.hpp"
#include "tools/load/engine_logs.hpp"
#include "tools/load/report.hpp"
#include "tools/load/runner.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <fstream>
#include <sstream>

ABSL_FLAG(std::string, scenario, "", "JSON file (docs/LOAD.md)");
ABSL_FLAG(std::vector<std::string>, entries, {},
          "addresses of daemons, ip:port, to ask for entries");
ABSL_FLAG(std::vector<std::string>, direct, {},
          "addresses of targets to send to, past the daemons");
ABSL_FLAG(std::vector<std::string>, logs, {},
          "control addresses of fakes, for wasted prefill");
ABSL_FLAG(int, callers, 512, "most requests under way at one time");
ABSL_FLAG(bool, json, false, "print JSON");

namespace
{

using namespace tanagerlead;

int fail(std::string const& message)
{
    std::fprintf(stderr, "tanagerlead_load: %s\n", message.c_str());
    return 1;
}

base::result<std::vector<base::address>>
read_addresses(std::vector<std::string> const& texts)
{
    std::vector<base::address> addresses;
    for (auto const& text : texts)
    {
        auto const one = base::parse_address(text);
        if (!one)
        {
            return one.error();
        }
        addresses.push_back(one.value());
    }
    return addresses;
}

base::result<load::scenario> read_scenario_file(std::string const& name)
{
    std::ifstream file{name};
    if (!file)
    {
        return base::fail(base::error_code::not_found, "read scenario", {},
                          "cannot open " + name);
    }
    std::stringstream text;
    text << file.rdbuf();
    return load::read_scenario(text.str());
}

load::load_report run(load::scenario const& wanted,
                      std::vector<base::address> const& where, bool direct,
                      std::vector<base::address> const& logs)
{
    auto const plan = load::make_plan(wanted);
    load::entry_cache entries{where, direct};
    load::caller caller{wanted, entries, direct};
    auto const before = load::read_logs(logs);
    auto const threads =
        static_cast<std::size_t>(std::max(absl::GetFlag(FLAGS_callers), 1));
    auto const results = load::run_plan(plan, caller, threads);
    return load::make_report(wanted, plan, results, before,
                             load::read_logs(logs));
}

} // namespace

/// Sends a scenario's requests and prints what each tier got.
int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("load driver");
    absl::ParseCommandLine(argc, argv);
    auto const wanted = read_scenario_file(absl::GetFlag(FLAGS_scenario));
    auto const entries = read_addresses(absl::GetFlag(FLAGS_entries));
    auto const targets = read_addresses(absl::GetFlag(FLAGS_direct));
    auto const logs = read_addresses(absl::GetFlag(FLAGS_logs));
    if (!wanted)
    {
        return fail(wanted.error().str());
    }
    for (auto const* list : {&entries, &targets, &logs})
    {
        if (!*list)
        {
            return fail(list->error().str());
        }
    }
    if (entries.value().empty() == targets.value().empty())
    {
        return fail("give either --entries or --direct");
    }
    auto const direct = !targets.value().empty();
    auto const report =
        run(wanted.value(), direct ? targets.value() : entries.value(), direct,
            logs.value());
    auto const text = absl::GetFlag(FLAGS_json) ? load::to_json(report) + '\n'
                                                : load::to_text(report);
    std::fputs(text.c_str(), stdout);
    return 0;
}
