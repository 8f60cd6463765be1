#include "tools/operator/command.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, daemon, {},
          "addresses ip:port of daemons, tried in order");
ABSL_FLAG(std::string, key_file, "", "file that holds the operator key");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::int64_t, base_version, -1,
          "version that a patch is against; -1: the one in force");
ABSL_FLAG(std::string, patch_id, "", "id of the patch; empty: a random one");
ABSL_FLAG(bool, wait, false, "wait until a patch is in force everywhere");
ABSL_FLAG(int, wait_s, 30, "longest time to wait");

namespace
{

using namespace tanagerlead;
using operator_tool::exit_code;

/// Takes out every `--set`, which may stand several times, and lets flag
/// names be written with hyphens.
std::vector<std::string> take_assignments(std::vector<std::string>& words)
{
    std::vector<std::string> assignments;
    std::vector<std::string> rest;
    for (std::size_t i = 0; i < words.size(); ++i)
    {
        auto word = words[i];
        if (word == "--set" && i + 1 < words.size())
        {
            assignments.push_back(words[++i]);
            continue;
        }
        if (word.starts_with("--set="))
        {
            assignments.push_back(word.substr(std::string{"--set="}.size()));
            continue;
        }
        if (word.starts_with("--"))
        {
            auto const end =
                word.begin() + static_cast<std::ptrdiff_t>(
                                   std::min(word.find('='), word.size()));
            std::replace(word.begin() + 2, end, '-', '_');
        }
        rest.push_back(std::move(word));
    }
    words = std::move(rest);
    return assignments;
}

std::vector<std::string> parse_flags(std::vector<std::string>& words)
{
    std::vector<char*> pointers;
    pointers.reserve(words.size());
    for (auto& word : words)
    {
        pointers.push_back(word.data());
    }
    auto const left = absl::ParseCommandLine(static_cast<int>(pointers.size()),
                                             pointers.data());
    return {left.begin() + 1, left.end()};
}

std::vector<base::address> daemons_or_exit()
{
    std::vector<base::address> out;
    for (auto const& text : absl::GetFlag(FLAGS_daemon))
    {
        auto const parsed = base::parse_address(text);
        if (!parsed)
        {
            std::cerr << "tanagerlead: --daemon: " << parsed.error().str()
                      << "\n";
            std::exit(static_cast<int>(exit_code::usage));
        }
        out.push_back(parsed.value());
    }
    return out;
}

std::string key_or_exit()
{
    auto const path = absl::GetFlag(FLAGS_key_file);
    if (path.empty())
    {
        return {};
    }
    std::ifstream file{path};
    std::string key;
    if (!std::getline(file, key))
    {
        std::cerr << "tanagerlead: --key-file: cannot read " << path << "\n";
        std::exit(static_cast<int>(exit_code::usage));
    }
    return key;
}

operator_tool::options read_options(std::vector<std::string> assignments)
{
    operator_tool::options out;
    out.json_ = absl::GetFlag(FLAGS_json);
    out.assignments_ = std::move(assignments);
    if (auto const base = absl::GetFlag(FLAGS_base_version); base >= 0)
    {
        out.base_version_ = static_cast<std::uint64_t>(base);
    }
    out.patch_id_ = absl::GetFlag(FLAGS_patch_id);
    out.wait_ = absl::GetFlag(FLAGS_wait);
    out.longest_wait_ = std::chrono::seconds{absl::GetFlag(FLAGS_wait_s)};
    return out;
}

} // namespace

/// The operators' command line.
int main(int argc, char** argv)
{
    auto const commands = operator_tool::all_commands();
    absl::SetProgramUsageMessage(operator_tool::help(commands));
    std::vector<std::string> words{argv, argv + argc};
    auto assignments = take_assignments(words);
    auto const left = parse_flags(words);
    auto const options = read_options(std::move(assignments));
    operator_tool::operator_client const client{daemons_or_exit(),
                                                key_or_exit()};
    return static_cast<int>(operator_tool::run_command(
        commands, left, client, options, std::cout, std::cerr));
}
