#pragma once

#include "src/base/error.hpp"
#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <string>
#include <string_view>

namespace tanagerlead::http
{

enum class generation_kind
{
    chat,
    completion,
};

/// What the request path needs of the body of a generation request.
struct generation_body
{
    base::pool_id model_;
    /// Role and text of each message, or the prompt.
    std::string prompt_;
    bool stream_ = false;
    base::token_count max_output_tokens_ = 0;
};

/// Errors: `invalid_argument`, whose detail names the field.
base::result<generation_body> parse_generation(std::string_view text,
                                               generation_kind kind);

} // namespace tanagerlead::http
