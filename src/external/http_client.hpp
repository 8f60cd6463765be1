#pragma once

#include "src/base/address.hpp"
#include "src/base/error.hpp"
#include "src/base/units.hpp"

#include <string>

namespace tanagerlead::external
{

struct http_answer
{
    int status_ = 0;
    std::string body_;
};

/// Limits of one HTTP exchange with the platform.
struct http_timeouts
{
    base::duration connect_ = std::chrono::milliseconds{500};
    base::duration read_ = std::chrono::seconds{2};
};

/// One POST of JSON on a connection of its own. Errors: `not_sent` when
/// nothing left this process, otherwise `unknown_effect`.
base::result<http_answer> post_json(base::address const& to,
                                    std::string const& path,
                                    std::string const& body,
                                    http_timeouts const& timeouts);

/// One GET; the errors of `post_json`.
base::result<http_answer> get(base::address const& from,
                              std::string const& path,
                              http_timeouts const& timeouts);

} // namespace tanagerlead::external
