#pragma once

#include "src/base/error.hpp"
#include "src/base/ids.hpp"
#include "src/peer/header.hpp"

#include <string>

namespace tanagerlead::peer
{

/// One message between daemons with its sender.
struct envelope
{
    message_kind kind_{};
    base::daemon_id sender_;
    /// Names the sender's life.
    std::uint64_t origin_ = 0;
    std::string payload_;
};

/// Appends the authentication tag.
std::string seal(std::string const& secret, envelope const& message);

/// Never throws. Errors: `permission_denied` for a wrong tag, `corrupt` for
/// anything else that is not one whole message of this version.
base::result<envelope> open(std::string const& secret,
                            std::string const& bytes);

} // namespace tanagerlead::peer
