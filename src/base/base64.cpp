#include "src/base/base64.hpp"

#include <openssl/evp.h>

namespace tanagerlead::base
{

namespace
{

constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_digits = 4;

std::size_t padding_of(std::string_view text)
{
    if (text.ends_with("=="))
    {
        return 2;
    }
    return text.ends_with("=") ? 1 : 0;
}

} // namespace

std::string base64_encode(std::string_view bytes)
{
    auto const groups = (bytes.size() + group_bytes - 1) / group_bytes;
    // The encoder writes a terminating zero.
    std::string text(groups * group_digits + 1, '\0');
    auto const written =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(written));
    return text;
}

std::optional<std::string> base64_decode(std::string_view text)
{
    if (text.size() % group_digits != 0)
    {
        return std::nullopt;
    }
    std::string bytes(text.size() / group_digits * group_bytes, '\0');
    auto const written =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    if (written < 0)
    {
        return std::nullopt;
    }
    // The decoder counts padding as zero bytes.
    bytes.resize(static_cast<std::size_t>(written) - padding_of(text));
    return bytes;
}

} // namespace tanagerlead::base
