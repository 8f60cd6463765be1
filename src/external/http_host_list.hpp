#pragma once

#include "src/external/host_list.hpp"
#include "src/external/http_client.hpp"

namespace tanagerlead::external
{

/// `host_list` over the HTTP service discovery of Prometheus. An entry with
/// several addresses becomes one listed host an address.
/// Errors: `unavailable`, `corrupt`.
class http_host_list final : public host_list
{
public:
    /// The endpoints are tried in order.
    http_host_list(std::vector<base::address> endpoints,
                   http_timeouts timeouts);

    base::result<std::vector<listed_host>> read() override;

private:
    std::vector<base::address> endpoints_;
    http_timeouts timeouts_;
};

} // namespace tanagerlead::external
