#pragma once

#include <charconv>
#include <string_view>

namespace tanagerlead::base
{

/// Reads a whole text as a decimal number. False, with `out` undefined, if it
/// is anything else.
template <class T>
bool parse_number(std::string_view text, T& out)
{
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && end == text.data() + text.size();
}

} // namespace tanagerlead::base
