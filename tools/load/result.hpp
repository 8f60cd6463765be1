#pragma once

#include "src/base/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerlead::load
{

enum class result_kind : std::uint8_t
{
    complete,
    /// The answer says that it was not run.
    refused,
    /// The answer says that it may have run.
    unknown,
    /// The stream ended without its terminal event.
    cut,
    /// Not the answer to this request.
    wrong,
    /// No HTTP answer, or one outside the contract.
    failed,
};

char const* to_string(result_kind kind);

/// What became of one planned request.
struct request_result
{
    std::size_t workspace_ = 0;
    result_kind kind_ = result_kind::failed;
    /// Refusal cause, or what failed.
    std::string cause_;
    /// The system's id of the request, if it told.
    std::string id_;
    /// From the planned arrival.
    base::duration first_token_{};
    base::duration total_{};
    /// Start after the planned arrival, for want of a free caller.
    base::duration late_{};
    std::vector<base::duration> gaps_;
    bool in_time_ = false;
};

} // namespace tanagerlead::load
