#include "src/base/ids.hpp"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace tanagerlead::base
{

namespace
{
constexpr std::size_t half_digits = 16;

bool parse_half(char const* begin, std::uint64_t& out)
{
    auto const* end = begin + half_digits;
    auto const [stop, error] = std::from_chars(begin, end, out, 16);
    return error == std::errc{} && stop == end;
}
} // namespace

std::string request_id::str() const
{
    std::array<char, 2 * half_digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64,
                  origin_, sequence_);
    return text.data();
}

bool parse_request_id(std::string const& text, request_id& out)
{
    if (text.size() != 2 * half_digits)
    {
        return false;
    }
    return parse_half(text.data(), out.origin_) &&
           parse_half(text.data() + half_digits, out.sequence_);
}

} // namespace tanagerlead::base
