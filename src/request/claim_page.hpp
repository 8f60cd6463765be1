#pragma once

#include "src/base/error.hpp"
#include "src/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerlead::request
{

/// Of a workspace and an idempotency key; half of a SHA-256.
struct claim_digest
{
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;

    bool operator==(claim_digest const&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(high_, low_);
    }

    template <class H>
    friend H AbslHashValue(H state, claim_digest const& digest)
    {
        return H::combine(std::move(state), digest.high_, digest.low_);
    }
};

claim_digest digest_claim(base::workspace_id const& workspace,
                          std::string_view key);

/// One claim as it is kept; 40 bytes.
struct claim_entry
{
    claim_digest digest_;
    base::request_id holder_;
    std::uint64_t fingerprint_ = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(digest_, holder_, fingerprint_);
    }
};

/// Entries of a page before it is sealed.
constexpr std::size_t claims_a_page = 256;

/// One value of the key-value service. A bucket has one open page, which
/// grows, and sealed pages, which never change.
struct claim_page
{
    /// Number of this page; rises by one with each seal.
    std::uint64_t sequence_ = 0;
    /// Of the open page: the sealed pages are those from here up to the one
    /// before `sequence_`.
    std::uint64_t first_sealed_ = 0;
    /// Of a sealed page: milliseconds since 1970 by the sealer's clock.
    std::int64_t sealed_at_ms_ = 0;
    std::vector<claim_entry> entries_;
};

std::string encode_page(claim_page const& page);
/// Errors: `corrupt`.
base::result<claim_page> decode_page(std::string const& bytes);

} // namespace tanagerlead::request
