#pragma once

#include "src/base/ids.hpp"
#include "src/sched/types.hpp"

#include <string_view>

namespace tanagerlead::request
{

/// What scheduling uses of a prompt.
struct prompt_features
{
    /// Words between white space, an estimate of the tokens.
    base::token_count tokens_ = 0;
    /// Of each whole block of `sched::prefix_block_tokens` words.
    sched::prefix_hashes prefix_;
};

prompt_features extract_features(std::string_view prompt);

/// Equal for copies of one request, whoever received them.
std::uint64_t fingerprint(base::workspace_id const& workspace,
                          base::pool_id const& pool, std::string_view body);

} // namespace tanagerlead::request
