#include <tanagerlead/version.hpp>

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>

/// The daemon.
int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("tanagerlead daemon");
    absl::ParseCommandLine(argc, argv);
    std::printf("tanagerleadd %s\n", tanagerlead::version());
    return 0;
}
