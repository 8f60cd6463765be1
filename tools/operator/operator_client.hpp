#pragma once

#include "src/base/address.hpp"
#include "src/base/error.hpp"

#include <string>
#include <vector>

namespace tanagerlead::operator_tool
{

struct operator_answer
{
    int status_ = 0;
    /// JSON.
    std::string body_;
};

/// Calls on daemons' `/operator/v1`. Errors: `not_sent`, `unknown_effect`.
class operator_client
{
public:
    /// The daemons are tried in order, as long as nothing was sent.
    operator_client(std::vector<base::address> daemons, std::string key)
        : daemons_{std::move(daemons)}, key_{std::move(key)}
    {
    }

    /// `path` follows "/operator/v1/".
    base::result<operator_answer> get(std::string const& path) const;
    base::result<operator_answer> post(std::string const& path,
                                       std::string const& body) const;

private:
    base::result<operator_answer> call(std::string const& path,
                                       std::string const* body) const;
    base::result<operator_answer> call_one(base::address const& daemon,
                                           std::string const& path,
                                           std::string const* body) const;

    std::vector<base::address> daemons_;
    std::string key_;
};

} // namespace tanagerlead::operator_tool
