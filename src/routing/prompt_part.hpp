#pragma once

#include "src/base/units.hpp"
#include "src/routing/id_digest.hpp"

#include <cstdint>
#include <vector>

namespace tanagerlead::routing
{

/// A part of prompts that requests share, such as their common beginning.
enum class prompt_part : std::uint64_t
{
};

/// The parts of one request's prompt that other requests may share, in order.
using prompt_parts = std::vector<prompt_part>;

/// A part of a prompt and its length.
struct sized_prompt_part
{
    prompt_part part_{};
    base::token_count tokens_ = 0;
};

/// All parts of one request's prompt, in order; only the first
/// `max_sized_parts` of a longer one.
using sized_prompt_parts = std::vector<sized_prompt_part>;

constexpr std::size_t max_sized_parts = 8;

/// A request with this part was in flight at a target when that crashed.
struct part_crash
{
    prompt_part part_{};
    /// Identifies the request, also between daemons.
    std::uint32_t request_ = 0;
    id_digest target_{};
    id_digest pool_{};
    /// Place of the part in the prompt. Later parts are shared by fewer
    /// requests.
    std::uint8_t place_ = 0;
    /// Time since the crash.
    std::uint32_t age_ms_ = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(part_, request_, target_, pool_, place_, age_ms_);
    }
};

/// A request with this part has run well at a target of the pool.
struct part_proof
{
    prompt_part part_{};
    id_digest pool_{};
    /// Time since the request had run for long enough.
    std::uint32_t age_ms_ = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(part_, pool_, age_ms_);
    }
};

} // namespace tanagerlead::routing
