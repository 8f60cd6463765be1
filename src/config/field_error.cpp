#include "src/config/field_error.hpp"

namespace tanagerlead::config
{

std::string field_error::str() const
{
    return (pointer_.empty() ? "document" : pointer_) + ": " + message_;
}

std::string to_lines(std::vector<field_error> const& errors)
{
    std::string lines;
    for (auto const& error : errors)
    {
        lines += lines.empty() ? "" : "\n";
        lines += error.str();
    }
    return lines;
}

std::string child_pointer(std::string const& pointer, std::string const& step)
{
    auto out = pointer + "/";
    for (auto const c : step)
    {
        if (c == '~')
        {
            out += "~0";
        }
        else if (c == '/')
        {
            out += "~1";
        }
        else
        {
            out += c;
        }
    }
    return out;
}

} // namespace tanagerlead::config
