#pragma once

#include "src/routing/configuration.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerlead::routing
{

enum class finding_kind : std::uint8_t
{
    /// An entry that can never match or never has an effect.
    unreachable,
    /// Limits that contradict each other.
    contradiction,
    /// A difference from the version in force.
    difference,
};

char const* name_of(finding_kind kind);

/// Something that operators should know before they send a configuration.
struct configuration_finding
{
    finding_kind kind_ = finding_kind::unreachable;
    /// Names the entry and what is wrong; never a key.
    std::string text_;

    bool operator==(configuration_finding const&) const = default;
};

/// Entries that can never match and limits that contradict each other. A
/// configuration with such findings is valid and would take effect.
std::vector<configuration_finding> check(configuration const& c);

/// What `next` changes, and why it would not take effect over `in_force`.
std::vector<configuration_finding> compare(configuration const& next,
                                           configuration const& in_force);

} // namespace tanagerlead::routing
