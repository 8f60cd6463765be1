#pragma once

#include "src/http/caller_api.hpp"
#include "src/http/server.hpp"
#include "src/kernel/service.hpp"

#include <functional>
#include <memory>

namespace tanagerlead::daemon_parts
{

/// The daemon's HTTP server with the calls of callers and operators.
class http_service final : public kernel::service
{
public:
    static constexpr char const* service_name = "http";

    /// Adds the routes of one API before the server starts.
    using add_routes = std::function<void(http::router&)>;

    /// `bound` has taken its port already.
    http_service(std::unique_ptr<http::server> bound,
                 http::caller_api_settings settings,
                 request::claim_store& claims, base::clock const& clock,
                 std::vector<add_routes> operator_apis);

    base::result<void> start(kernel::kernel& services) override;
    void stop() override;

    http::caller_api& callers() { return *callers_; }

private:
    std::unique_ptr<http::server> server_;
    http::caller_api_settings settings_;
    request::claim_store& claims_;
    base::clock const& clock_;
    std::vector<add_routes> operator_apis_;
    std::unique_ptr<http::caller_api> callers_;
};

} // namespace tanagerlead::daemon_parts
