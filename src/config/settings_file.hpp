#pragma once

#include "src/config/field_error.hpp"
#include "src/config/settings.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace tanagerlead::config
{

/// Settings read from JSON, and each wrong field.
struct checked_settings
{
    settings settings_;
    /// Empty: the settings may be used.
    std::vector<field_error> errors_;

    bool ok() const { return errors_.empty(); }
};

/// Member names are those of `settings` without the trailing underscore.
checked_settings parse_settings(std::string_view text);

/// A file that cannot be read is an error of the document.
checked_settings read_settings_file(std::string const& path);

} // namespace tanagerlead::config
