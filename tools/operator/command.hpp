#pragma once

#include "src/base/clock.hpp"
#include "tools/operator/exit_code.hpp"
#include "tools/operator/operator_client.hpp"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace tanagerlead::operator_tool
{

/// What the flags say.
struct options
{
    /// Print the daemon's JSON in place of text.
    bool json_ = false;
    /// Each "POINTER=VALUE".
    std::vector<std::string> assignments_;
    std::optional<std::uint64_t> base_version_;
    /// Empty: a random one.
    std::string patch_id_;
    /// Wait until an accepted patch is in force everywhere.
    bool wait_ = false;
    base::duration longest_wait_ = std::chrono::seconds{30};
};

/// What a command works with.
struct context
{
    operator_client const& client_;
    options const& options_;
    /// Words after the command's own.
    std::vector<std::string> arguments_;
    std::ostream& out_;
    std::ostream& errors_;
};

/// One row of the table of commands.
struct command
{
    /// For example "config get".
    char const* name_;
    /// For the help.
    char const* arguments_;
    char const* summary_;
    exit_code (*run_)(context const&);
};

/// `config get|patch|validate|history|diff`.
std::span<command const> config_commands();
/// `status`, `targets`, `drain`, `undrain`, `explain`.
std::span<command const> fleet_commands();
/// `trace`.
std::span<command const> log_commands();
/// All of the tables, in the order of the help.
std::vector<command> all_commands();

/// Finds the command whose name `words` begin with and runs it. Prints the
/// help when there is none.
exit_code run_command(std::span<command const> commands,
                      std::vector<std::string> const& words,
                      operator_client const& client, options const& flags,
                      std::ostream& out, std::ostream& errors);

std::string help(std::span<command const> commands);

/// Prints one line and returns the fitting code.
exit_code report(context const& from, base::error const& error);

/// The error in an answer that is not 200.
base::error read_error(operator_answer const& answer);

} // namespace tanagerlead::operator_tool
