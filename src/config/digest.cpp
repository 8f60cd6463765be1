#include "src/config/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace tanagerlead::config
{

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(),
           digest.data());
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (auto const byte : digest)
    {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace tanagerlead::config
