#pragma once

#include <string>
#include <vector>

namespace tanagerlead::config
{

/// One wrong field of a JSON document.
struct field_error
{
    /// JSON pointer (RFC 6901); empty for the document itself.
    std::string pointer_;
    std::string message_;

    bool operator==(field_error const&) const = default;
    /// "POINTER: MESSAGE".
    std::string str() const;
};

/// One error a line.
std::string to_lines(std::vector<field_error> const& errors);

/// `pointer` and one more step, escaped.
std::string child_pointer(std::string const& pointer, std::string const& step);

} // namespace tanagerlead::config
