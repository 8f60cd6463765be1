#include "tests/fakes/fake_key_value.hpp"
#include "tests/fakes/fake_main.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "address to serve on; port 0: the kernel picks");

/// Stand-in for the key-value service.
int main(int argc, char** argv)
{
    using namespace tanagerlead;
    absl::SetProgramUsageMessage("stand-in for the key-value service");
    absl::ParseCommandLine(argc, argv);
    fakes::block_stop_signals();
    base::steady_clock const clock;
    fakes::fake_key_value fake{
        fakes::listen_address_or_exit(absl::GetFlag(FLAGS_listen)), clock};
    if (auto const started = fake.start(); !started)
    {
        std::fprintf(stderr, "%s\n", started.error().str().c_str());
        return 1;
    }
    fakes::print_ready(fake.local_address(), fake.control_address());
    fakes::wait_for_stop_signal();
    fake.stop();
    return 0;
}
