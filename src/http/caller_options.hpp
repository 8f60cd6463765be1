#pragma once

#include "src/base/error.hpp"
#include "src/base/units.hpp"
#include "src/http/call.hpp"

#include <optional>
#include <string>

namespace tanagerlead::http
{

/// What a caller's headers ask for.
struct caller_options
{
    /// Empty when there is none.
    std::string idempotency_key_;
    bool non_idempotent_ = false;
    /// From now; may be zero or less.
    std::optional<base::duration> deadline_;
    /// Last event the caller has; 0 for all.
    std::uint64_t last_event_ = 0;
    /// Another daemon sent the request here.
    bool forwarded_ = false;
};

/// Errors: `invalid_argument`, whose detail names the header.
base::result<caller_options> read_options(http_call const& request,
                                          bool non_idempotent_by_default);

/// Marks a request that one daemon sends to another.
constexpr char const* forwarded_header = "X-Tanagerlead-Forwarded";

} // namespace tanagerlead::http
