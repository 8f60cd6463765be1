#include "src/request/claim_page.hpp"

#include "src/base/serialization.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <openssl/sha.h>

#include <array>
#include <sstream>

namespace tanagerlead::request
{

namespace
{

constexpr std::uint8_t page_format = 1;

std::uint64_t read_number(unsigned char const* bytes)
{
    std::uint64_t out = 0;
    for (std::size_t i = 0; i < sizeof out; ++i)
    {
        out = out << 8U | bytes[i];
    }
    return out;
}

template <class Archive>
void transfer(Archive& archive, claim_page& page)
{
    archive(page.sequence_, page.first_sealed_, page.sealed_at_ms_);
    base::serialize_list(archive, page.entries_, claims_a_page);
}

} // namespace

claim_digest digest_claim(base::workspace_id const& workspace,
                          std::string_view key)
{
    // The length keeps "a" + "bc" apart from "ab" + "c".
    auto const text = std::to_string(workspace.str().size()) + ":" +
                      workspace.str() + std::string{key};
    std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(),
           bytes.data());
    return {read_number(bytes.data()),
            read_number(bytes.data() + sizeof(std::uint64_t))};
}

std::string encode_page(claim_page const& page)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive{out};
        archive(page_format);
        auto copy = page;
        transfer(archive, copy);
    }
    return std::move(out).str();
}

base::result<claim_page> decode_page(std::string const& bytes)
{
    constexpr char const* step = "decode claims";
    try
    {
        std::istringstream in{bytes};
        cereal::PortableBinaryInputArchive archive{in};
        std::uint8_t format = 0;
        archive(format);
        if (format != page_format)
        {
            return base::fail(base::error_code::corrupt, step, {},
                              "unknown format");
        }
        claim_page page;
        transfer(archive, page);
        return page;
    }
    catch (cereal::Exception const& problem)
    {
        return base::fail(base::error_code::corrupt, step, {}, problem.what());
    }
}

} // namespace tanagerlead::request
