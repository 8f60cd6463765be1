#include "src/request/issued_key.hpp"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace tanagerlead::request
{

namespace
{
constexpr std::size_t origin_digits = 16;
} // namespace

std::string issued_key_prefix(std::uint64_t origin)
{
    std::array<char, origin_digits + 2> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "-", origin);
    return text.data();
}

std::optional<std::uint64_t> issuer_of(std::string_view key)
{
    if (key.size() <= origin_digits || key[origin_digits] != '-')
    {
        return std::nullopt;
    }
    std::uint64_t origin = 0;
    auto const* end = key.data() + origin_digits;
    auto const [stop, error] = std::from_chars(key.data(), end, origin, 16);
    if (error != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return origin;
}

} // namespace tanagerlead::request
