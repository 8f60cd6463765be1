#include "tools/operator/command.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>
#include <sstream>

namespace tanagerlead::operator_tool
{

namespace
{

constexpr int status_forbidden = 403;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_bad_request = 400;
constexpr int status_unknown_effect = 504;

std::vector<std::string> split(std::string const& name)
{
    std::istringstream in{name};
    std::vector<std::string> words;
    for (std::string word; in >> word;)
    {
        words.push_back(std::move(word));
    }
    return words;
}

base::error_code code_of(int status)
{
    switch (status)
    {
    case status_unauthorized:
    case status_forbidden:
        return base::error_code::permission_denied;
    case status_not_found:
        return base::error_code::not_found;
    case status_bad_request:
        return base::error_code::invalid_argument;
    case status_unknown_effect:
        return base::error_code::unknown_effect;
    default:
        return base::error_code::unavailable;
    }
}

} // namespace

std::vector<command> all_commands()
{
    std::vector<command> all;
    for (auto const table :
         {config_commands(), fleet_commands(), log_commands()})
    {
        all.insert(all.end(), table.begin(), table.end());
    }
    return all;
}

exit_code run_command(std::span<command const> commands,
                      std::vector<std::string> const& words,
                      operator_client const& client, options const& flags,
                      std::ostream& out, std::ostream& errors)
{
    for (auto const& each : commands)
    {
        auto const name = split(each.name_);
        if (words.size() >= name.size() &&
            std::equal(name.begin(), name.end(), words.begin()))
        {
            auto const count = static_cast<std::ptrdiff_t>(name.size());
            return each.run_({client,
                              flags,
                              {words.begin() + count, words.end()},
                              out,
                              errors});
        }
    }
    errors << help(commands);
    return exit_code::usage;
}

std::string help(std::span<command const> commands)
{
    constexpr std::size_t column = 34;
    std::string text = "usage: tanagerlead COMMAND [FLAGS]\n\n";
    for (auto const& each : commands)
    {
        std::string left =
            "  " + std::string{each.name_} + " " + std::string{each.arguments_};
        left.resize(std::max(left.size() + 1, column), ' ');
        text += left + each.summary_ + "\n";
    }
    return text +
           "\nexit codes: 0 ok, 1 invalid, 2 usage, 3 conflict, 4 unavailable "
           "(nothing done),\n5 effect unknown, 6 operator key, 7 not found, "
           "8 not yet in force everywhere\n\n--help lists the flags.\n";
}

exit_code report(context const& from, base::error const& error)
{
    from.errors_ << "tanagerlead: " << error.str() << "\n";
    return exit_code_of(error.code_);
}

base::error read_error(operator_answer const& answer)
{
    base::error out{code_of(answer.status_),
                    "call daemon",
                    {},
                    "status " + std::to_string(answer.status_)};
    auto const body = nlohmann::json::parse(answer.body_, nullptr, false);
    if (body.is_object() && body.contains("error") &&
        body.at("error").is_object())
    {
        auto const& told = body.at("error");
        out.step_ = told.value("step", out.step_);
        out.peer_ = told.value("peer", out.peer_);
        out.detail_ = told.value("message", out.detail_);
    }
    return out;
}

} // namespace tanagerlead::operator_tool
