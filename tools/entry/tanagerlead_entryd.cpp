#include "platform/store_client.hpp"
#include "platform/wire_protocol.hpp"
#include "src/base/log.hpp"
#include "src/entry/entry_daemon.hpp"
#include "tools/entry/configuration_report.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>

// Builds for development compile again only what has changed, and have no
// digest of all sources.
#ifndef TANAGERLEAD_SOURCES
#define TANAGERLEAD_SOURCES "development"
#endif

ABSL_FLAG(std::string, settings, "", "settings file (JSON)");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(std::string, check_configuration, "",
          "check this configuration document (JSON) and exit");
ABSL_FLAG(std::string, in_force, "",
          "with --check_configuration: the document in force, to compare with");

namespace
{

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

std::string read_file(std::string const& path)
{
    std::ifstream file{path};
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

/// Runs the entry daemon with the platform's store and wire protocol.
int main(int argc, char** argv)
{
    // A SIGHUP that arrives before the daemon handles it must not end the
    // process.
    std::signal(SIGHUP, SIG_IGN);
    absl::SetProgramUsageMessage(
        "tanagerlead_entryd --settings=FILE [--check]\n"
        "tanagerlead_entryd --check_configuration=FILE [--in_force=FILE]\n"
        "Routes requests to targets that register themselves. SIGTERM is a "
        "planned stop, SIGHUP reads the settings again.\nExit codes: 0 stopped "
        "as planned or nothing wrong, 1 failed, 2 wrong use, settings or "
        "document, 3 a configuration with findings.");
    absl::ParseCommandLine(argc, argv);
    if (auto const document = absl::GetFlag(FLAGS_check_configuration);
        !document.empty())
    {
        std::optional<std::string> in_force;
        if (auto const path = absl::GetFlag(FLAGS_in_force); !path.empty())
        {
            in_force = read_file(path);
        }
        return tanagerlead::tools::report_configuration(read_file(document),
                                                        in_force);
    }
    auto const path = absl::GetFlag(FLAGS_settings);
    auto const settings = tanagerlead::entry::read_settings(read_file(path));
    if (!settings)
    {
        std::fprintf(stderr, "tanagerlead_entryd: settings '%s': %s\n",
                     path.c_str(), settings.error().str().c_str());
        return exit_usage;
    }
    if (absl::GetFlag(FLAGS_check))
    {
        std::printf("settings are right\n");
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    tanagerlead::base::start_logging(
        {tanagerlead::base::log_level::info,
         tanagerlead::base::log_layout::text,
         tanagerlead::base::log_output::standard_output});
    tanagerlead::base::log{"daemon"}.info(
        "Program started. sources=" TANAGERLEAD_SOURCES);
    tanagerlead::platform::wire_protocol const wire;
    tanagerlead::entry::entry_daemon daemon{
        settings.value(), path, wire,
        [](auto& loop, auto const& store)
        {
            return std::make_unique<tanagerlead::platform::store_client>(loop,
                                                                         store);
        }};
    auto const stopped_gracefully = daemon.run();
    std::fflush(stdout);
    // Skips static destruction: nothing is left to save, and the shutdown of
    // the logging library waits for its threads for longer than a graceful
    // shutdown may take.
    std::_Exit(stopped_gracefully ? 0 : exit_failed);
}
