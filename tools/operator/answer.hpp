#pragma once

#include "tools/operator/command.hpp"

#include <nlohmann/json_fwd.hpp>

namespace tanagerlead::operator_tool
{

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;

/// The object in a 200 answer. Errors: the daemon's; `corrupt`.
base::result<nlohmann::json> read_json(operator_answer const& answer);

/// `path` follows "/operator/v1/".
base::result<nlohmann::json> get(context const& from, std::string const& path);

exit_code usage(context const& from, char const* text);

void print_json(context const& from, nlohmann::json const& body);

/// The `errors` of a 422 answer, one a line.
void print_errors(std::ostream& out, nlohmann::json const& body);

} // namespace tanagerlead::operator_tool
