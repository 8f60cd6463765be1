#include "src/base/clock.hpp"
#include "tools/operator/operator_client.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <future>
#include <iostream>
#include <thread>

ABSL_FLAG(std::vector<std::string>, daemons, {}, "addresses of all daemons");
ABSL_FLAG(std::string, key, "", "operator key");
ABSL_FLAG(std::string, document, "", "first configuration; empty: it is there");
ABSL_FLAG(std::string, control, "", "control address of the fake service");
ABSL_FLAG(std::string, fault_before, "", "fault set before each patch, JSON");
ABSL_FLAG(std::string, fault_after, "",
          "fault set as soon as a patch is accepted, JSON");
ABSL_FLAG(int, patches, 5, "patches to measure");
ABSL_FLAG(std::string, name, "up", "name of the row");

namespace
{

using namespace tanagerlead;
using nlohmann::json;

constexpr auto poll_interval = std::chrono::milliseconds{20};
constexpr auto give_up = std::chrono::seconds{10};
constexpr int status_ok = 200;

base::steady_clock const steady;

std::vector<base::address> daemons()
{
    std::vector<base::address> out;
    for (auto const& text : absl::GetFlag(FLAGS_daemons))
    {
        out.push_back(base::parse_address(text).value());
    }
    return out;
}

operator_tool::operator_client client_of(base::address const& daemon)
{
    return {{daemon}, absl::GetFlag(FLAGS_key)};
}

std::uint64_t version_at(base::address const& daemon)
{
    auto const answer = client_of(daemon).get("config");
    auto const body =
        answer ? json::parse(answer.value().body_, nullptr, false) : json{};
    return body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
}

void set_fault(std::string const& fault)
{
    if (!fault.empty())
    {
        auto const control =
            base::parse_address(absl::GetFlag(FLAGS_control)).value();
        httplib::Client client{control.ip_, control.port_};
        client.Post("/fake/faults", fault, "application/json");
    }
}

/// Submits; the accepted version, or the end of the process.
std::uint64_t submit(std::uint64_t base, json const& change)
{
    json const request{{"base_version", base},
                       {"patch_id", "bench-" + std::to_string(base)},
                       {"kind", "merge"},
                       {"patch", change}};
    auto const answer =
        client_of(daemons().front()).post("config/patch", request.dump());
    if (!answer || answer.value().status_ != status_ok)
    {
        std::cerr << (answer ? answer.value().body_ : answer.error().str())
                  << "\n";
        std::exit(1);
    }
    return json::parse(answer.value().body_).at("version");
}

/// From `start` until the daemon has the version; negative when it never had.
double seconds_until(base::address const& daemon, std::uint64_t version,
                     base::time_point start)
{
    while (steady.now() - start < give_up)
    {
        if (version_at(daemon) >= version)
        {
            return base::seconds(steady.now() - start);
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return -1;
}

std::vector<double> wait_everywhere(std::uint64_t version,
                                    base::time_point start)
{
    std::vector<std::future<double>> waits;
    for (auto const& daemon : daemons())
    {
        waits.push_back(std::async(std::launch::async, seconds_until, daemon,
                                   version, start));
    }
    std::vector<double> times;
    times.reserve(waits.size());
    for (auto& wait : waits)
    {
        times.push_back(wait.get());
    }
    return times;
}

/// Changes the one target of the document, back and forth.
json change_of(std::uint64_t base)
{
    return {{"targets", {{"r1", {{"slots", 1 + base % 100}}}}}};
}

void print(std::vector<double> times)
{
    std::sort(times.begin(), times.end());
    auto const missed = std::count_if(times.begin(), times.end(),
                                      [](double time) { return time < 0; });
    std::printf("| %zu | %s | %d | %.3f | %.3f | %ld |\n", daemons().size(),
                absl::GetFlag(FLAGS_name).c_str(), absl::GetFlag(FLAGS_patches),
                times[times.size() / 2], times.back(),
                static_cast<long>(missed));
}

} // namespace

/// Time from the acceptance of a patch until it is in force at each daemon:
/// a row of daemons, service, patches, median s, max s, never.
int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("time until a configuration is in force");
    absl::ParseCommandLine(argc, argv);
    if (auto const document = absl::GetFlag(FLAGS_document); !document.empty())
    {
        auto const version = submit(0, json::parse(document));
        wait_everywhere(version, steady.now());
    }
    std::vector<double> all;
    for (int i = 0; i < absl::GetFlag(FLAGS_patches); ++i)
    {
        set_fault(absl::GetFlag(FLAGS_fault_before));
        auto const base = version_at(daemons().front());
        auto const version = submit(base, change_of(base));
        auto const start = steady.now();
        set_fault(absl::GetFlag(FLAGS_fault_after));
        auto const times = wait_everywhere(version, start);
        all.insert(all.end(), times.begin(), times.end());
    }
    print(all);
    return 0;
}
