#pragma once

#include "src/base/error.hpp"
#include "src/http/router.hpp"

#include <functional>
#include <string>

/// HTTP adapters of the daemon.
namespace tanagerlead::http
{

/// Lets only operators pass: `Authorization: Bearer KEY`, whose SHA-256 is
/// compared in constant time.
class operator_guard
{
public:
    using handler = router::handler;

    /// An empty hash lets nobody pass.
    explicit operator_guard(std::string key_hash)
        : key_hash_{std::move(key_hash)}
    {
    }

    bool allows(http_call const& request) const;

    /// `inner`, or status 401 or 403. The guard is copied.
    handler protect(handler inner) const;

private:
    std::string key_hash_;
};

/// `{"error":{"code","message","step","peer"}}` and the status that fits.
void answer_operator_error(http_reply& out, base::error const& error);

} // namespace tanagerlead::http
