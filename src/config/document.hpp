#pragma once

#include "src/config/configuration.hpp"
#include "src/config/field_error.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace tanagerlead::config
{

/// A configuration read from JSON, and each wrong field.
struct checked_configuration
{
    configuration configuration_;
    /// Empty: the configuration may be used.
    std::vector<field_error> errors_;

    bool ok() const { return errors_.empty(); }
};

/// Reads and checks the configuration document of docs/INTERFACES.md.
checked_configuration parse_configuration(std::string_view text,
                                          base::config_version version);
checked_configuration read_configuration(nlohmann::json const& document,
                                         base::config_version version);

/// The document; the same text for the same configuration. Without version.
std::string serialize(configuration const& from);
nlohmann::json write_configuration(configuration const& from);

/// References that lead nowhere, doubled addresses and keys, workspaces
/// without targets.
void check_references(configuration const& checked,
                      std::vector<field_error>& errors);

} // namespace tanagerlead::config
