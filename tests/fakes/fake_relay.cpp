#include "tests/fakes/fake_main.hpp"
#include "tests/fakes/relay.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>

ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "address to listen on, for TCP and UDP");
ABSL_FLAG(std::string, far, "", "address to relay to, ip:port");

namespace
{

using namespace tanagerlead;

int fail(base::error const& error)
{
    std::fprintf(stderr, "fake_relay: %s\n", error.str().c_str());
    return 1;
}

} // namespace

/// A stand-in for what lies between two ends.
int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("relay that cuts, silences and delays");
    absl::ParseCommandLine(argc, argv);
    fakes::block_stop_signals();
    auto const far = base::parse_address(absl::GetFlag(FLAGS_far));
    if (!far)
    {
        return fail(far.error());
    }
    fakes::relay relay{
        fakes::listen_address_or_exit(absl::GetFlag(FLAGS_listen)),
        far.value()};
    if (auto const started = relay.start(); !started)
    {
        return fail(started.error());
    }
    fakes::print_ready(relay.address(), relay.control_address());
    fakes::wait_for_stop_signal();
    relay.stop();
    return 0;
}
