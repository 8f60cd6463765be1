#pragma once

#include "src/base/error.hpp"

#include <functional>
#include <string>

namespace httplib
{
struct Request;
struct Response;
} // namespace httplib

/// HTTP adapters of the daemon.
namespace tanagerlead::http
{

/// Lets only operators pass: `Authorization: Bearer KEY`, whose SHA-256 is
/// compared in constant time.
class operator_guard
{
public:
    using handler =
        std::function<void(httplib::Request const&, httplib::Response&)>;

    /// An empty hash lets nobody pass.
    explicit operator_guard(std::string key_hash)
        : key_hash_{std::move(key_hash)}
    {
    }

    bool allows(httplib::Request const& request) const;

    /// `inner`, or status 401 or 403. The guard is copied.
    handler protect(handler inner) const;

private:
    std::string key_hash_;
};

/// `{"error":{"code","message","step","peer"}}` and the status that fits.
void answer_operator_error(httplib::Response& out, base::error const& error);

} // namespace tanagerlead::http
