#include "tools/operator/command.hpp"
#include "tools/operator/log_story.hpp"

#include <fstream>
#include <iostream>

namespace tanagerlead::operator_tool
{

namespace
{

exit_code run_trace(context const& from)
{
    if (from.arguments_.empty())
    {
        from.errors_ << "usage: tanagerlead trace REQUEST [FILE...]\n";
        return exit_code::usage;
    }
    log_story story{from.arguments_[0]};
    for (std::size_t i = 1; i < from.arguments_.size(); ++i)
    {
        auto const& path = from.arguments_[i];
        std::ifstream file{path};
        if (!file)
        {
            from.errors_ << "tanagerlead: cannot read log '" << path << "'\n";
            return exit_code::usage;
        }
        story.read(path, file);
    }
    if (from.arguments_.size() == 1)
    {
        story.read("-", std::cin);
    }
    auto const lines = story.lines();
    if (lines.empty())
    {
        return report(from,
                      {base::error_code::not_found, "trace request", "",
                       "no line names request '" + from.arguments_[0] + "'"});
    }
    for (auto const& line : lines)
    {
        from.out_ << line.source_ << ": " << line.text_ << "\n";
    }
    return exit_code::ok;
}

constexpr command commands[] = {
    {"trace", "REQUEST [FILE...]",
     "tell a request's story from the logs of several daemons", run_trace},
};

} // namespace

std::span<command const> log_commands()
{
    return commands;
}

} // namespace tanagerlead::operator_tool
