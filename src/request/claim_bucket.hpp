#pragma once

#include "src/external/key_value.hpp"
#include "src/request/claim_page.hpp"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlead::request
{

/// How long a key is remembered at least, less the difference between the
/// clocks of two daemons. Afterwards a repeat is a new request and runs again.
constexpr auto claim_retention = std::chrono::hours{6};

/// Time since 1970; pages outlive every daemon, so a monotonic clock of one
/// process does not do.
using wall_clock = std::function<std::chrono::milliseconds()>;

/// One claim that is to be made.
struct claim_attempt
{
    claim_entry wanted_;
    /// The claim in force, or why it is not known.
    std::optional<base::result<claim_entry>> outcome_;
};

/// The pages of one bucket in the key-value service. Not thread-safe.
class claim_bucket
{
public:
    claim_bucket(external::key_value_store& store, std::size_t number,
                 wall_clock now);

    /// Decides the whole group with one write, as far as nobody else writes.
    void settle(std::vector<claim_attempt*> const& group);

private:
    struct open_page
    {
        claim_page page_;
        std::int64_t revision_ = 0;
    };

    enum class progress
    {
        done,
        again,
    };

    base::result<progress> try_once(std::vector<claim_attempt*> const& group);
    base::result<open_page> read_open();
    base::result<progress> load_sealed(claim_page const& open);
    base::result<progress> load_one(std::uint64_t sequence);
    base::result<void> load_all();
    void remember(claim_page const& sealed);
    void forget_before(std::uint64_t sequence);
    claim_entry const* find(claim_page const& open,
                            claim_digest const& digest) const;
    std::vector<external::key_value_write>
    plan_writes(open_page const& open, std::vector<claim_entry> const& added);
    void seal(claim_page& page, std::vector<external::key_value_write>& writes);
    std::string sealed_prefix() const;
    std::string sealed_key(std::uint64_t sequence) const;

    external::key_value_store& store_;
    std::string prefix_;
    wall_clock now_;
    /// Of the sealed pages.
    absl::flat_hash_map<claim_digest, claim_entry> entries_;
    struct sealed_page
    {
        std::int64_t sealed_at_ms_ = 0;
        std::vector<claim_digest> digests_;
    };
    std::map<std::uint64_t, sealed_page> sealed_;
};

} // namespace tanagerlead::request
