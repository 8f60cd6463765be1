#include <tanagerlead/daemon.hpp>
#include <tanagerlead/version.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <sys/resource.h>

ABSL_FLAG(std::string, settings, "", "settings file (JSON)");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(int, drain_seconds, 300,
          "longest time a planned stop waits for requests in flight");

namespace
{

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

// A stream holds two descriptors for its whole life.
void raise_descriptor_limit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int run(tanagerlead::daemon& daemon, sigset_t const& signals)
{
    std::string problem;
    if (!daemon.start(problem))
    {
        std::fprintf(stderr, "tanagerleadd: %s\n", problem.c_str());
        return exit_failed;
    }
    std::printf("{\"ready\":true,\"http\":\"%s\",\"peer\":\"%s\"}\n",
                daemon.http_address().c_str(), daemon.peer_address().c_str());
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    auto const idle =
        daemon.drain(std::chrono::seconds{absl::GetFlag(FLAGS_drain_seconds)});
    daemon.stop();
    return idle ? 0 : exit_failed;
}

} // namespace

/// The daemon.
int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "tanagerleadd --settings=FILE [--check]\n"
        "Schedules requests between callers and targets. SIGTERM is a planned "
        "stop.\nExit codes: 0 stopped as planned or settings right, 1 failed, "
        "2 wrong use or settings.");
    absl::FlagsUsageConfig usage;
    usage.version_string = []
    {
        return std::string{"tanagerleadd "} + tanagerlead::version() + "\n";
    };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);

    std::ifstream file{absl::GetFlag(FLAGS_settings)};
    if (!file)
    {
        std::fprintf(stderr, "tanagerleadd: cannot read --settings='%s'\n",
                     absl::GetFlag(FLAGS_settings).c_str());
        return exit_usage;
    }
    std::stringstream text;
    text << file.rdbuf();

    // Blocked before any thread starts, so that only sigwait takes them.
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    raise_descriptor_limit();

    std::vector<std::string> problems;
    auto const daemon = tanagerlead::daemon::create(text.str(), problems);
    for (auto const& problem : problems)
    {
        std::fprintf(stderr, "tanagerleadd: settings: %s\n", problem.c_str());
    }
    if (!daemon)
    {
        return exit_usage;
    }
    if (absl::GetFlag(FLAGS_check))
    {
        std::printf("settings are right\n");
        return 0;
    }
    return run(*daemon, signals);
}
