#include "tools/entry/configuration_report.hpp"

#include "platform/documents.hpp"
#include "src/routing/configuration_check.hpp"

#include <cstdio>

namespace tanagerlead::tools
{

namespace
{

constexpr int exit_sound = 0;
constexpr int exit_unreadable = 2;
constexpr int exit_findings = 3;

/// Returns whether any of them is more than a difference.
bool print(std::vector<routing::configuration_finding> const& findings)
{
    bool is_wrong = false;
    for (auto const& finding : findings)
    {
        std::printf("%s: %s\n", name_of(finding.kind_), finding.text_.c_str());
        is_wrong =
            is_wrong || finding.kind_ != routing::finding_kind::difference;
    }
    return is_wrong;
}

routing::configuration_ptr read(char const* which, std::string const& document)
{
    auto const parsed = platform::parse_configuration(document);
    if (!parsed)
    {
        std::printf("error: %s: %s\n", which, parsed.error().str().c_str());
        return nullptr;
    }
    return parsed.value();
}

} // namespace

int report_configuration(std::string const& document,
                         std::optional<std::string> const& in_force)
{
    auto const next = read("configuration", document);
    if (!next)
    {
        return exit_unreadable;
    }
    auto is_wrong = print(check(*next));
    if (in_force)
    {
        auto const current = read("configuration in force", *in_force);
        if (!current)
        {
            return exit_unreadable;
        }
        is_wrong = print(compare(*next, *current)) || is_wrong;
    }
    return is_wrong ? exit_findings : exit_sound;
}

} // namespace tanagerlead::tools
