#include "tests/fakes/fake_main.hpp"
#include "tests/fakes/service_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <unistd.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address of the traffic port");
ABSL_FLAG(std::string, name, "service", "name in answers and logs");
ABSL_FLAG(double, delay_ms, 5, "time that one call takes, ms");
ABSL_FLAG(int, slots, 16, "calls that run at one time");
ABSL_FLAG(int, threads, 256, "most connections at one time");

namespace
{

using namespace tanagerlead;

constexpr int crash_status = 139;

int fail(base::error const& error)
{
    std::fprintf(stderr, "fake_service: %s\n", error.str().c_str());
    return 1;
}

} // namespace

/// A stand-in for a plain service.
int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("stand-in for a plain service");
    absl::ParseCommandLine(argc, argv);
    fakes::block_stop_signals();
    auto const listen =
        fakes::listen_address_or_exit(absl::GetFlag(FLAGS_listen));
    fakes::service_server service{
        {absl::GetFlag(FLAGS_name),
         {listen, absl::GetFlag(FLAGS_threads)},
         base::from_seconds(absl::GetFlag(FLAGS_delay_ms) / 1e3),
         absl::GetFlag(FLAGS_slots),
         []
         {
             ::_exit(crash_status);
         }}};
    if (auto const started = service.start(); !started)
    {
        return fail(started.error());
    }
    fakes::print_ready(service.address(), service.control_address());
    fakes::wait_for_stop_signal();
    service.stop();
    return 0;
}
