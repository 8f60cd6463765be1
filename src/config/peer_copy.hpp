#pragma once

#include "src/config/config_store.hpp"

#include <string>

/// How daemons hand a version to each other: the asker names the pages it
/// has, the answer brings the head and the other pages.
namespace tanagerlead::config
{

std::string encode_copy_request(stored_configuration const* known);
/// Errors: `corrupt` when `request` is malformed.
base::result<std::string> answer_copy_request(std::string const& request,
                                              stored_configuration const& have);
/// Each page is checked against its digest. Errors: `corrupt`.
base::result<stored_configuration>
decode_copy(std::string const& answer, stored_configuration const* known);

} // namespace tanagerlead::config
