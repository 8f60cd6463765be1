#include "src/peer/header.hpp"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace tanagerlead::peer
{

std::string authentication_tag(std::string const& secret,
                               std::string const& bytes)
{
    constexpr std::size_t tag_bytes = 16;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(),
         digest.data(), &length);
    return {reinterpret_cast<char const*>(digest.data()), tag_bytes};
}

} // namespace tanagerlead::peer
