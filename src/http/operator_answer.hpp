#pragma once

#include "src/config/field_error.hpp"
#include "src/http/call.hpp"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace tanagerlead::http
{

constexpr int operator_status_ok = 200;
constexpr int operator_status_conflict = 409;
constexpr int operator_status_unprocessable = 422;

/// Answers an operator's call with JSON.
void answer_operator(http_reply& out, nlohmann::json const& body,
                     int status = operator_status_ok);

/// `[{"pointer","message"}]`.
nlohmann::json write_errors(std::vector<config::field_error> const& errors);

/// Status 422 and `{"status":"invalid","errors":[...]}`.
void answer_invalid(http_reply& out,
                    std::vector<config::field_error> const& errors);

} // namespace tanagerlead::http
