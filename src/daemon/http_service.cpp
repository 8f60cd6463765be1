#include "src/daemon/http_service.hpp"

#include "src/cell/scheduling_service.hpp"
#include "src/config/config_service.hpp"
#include "src/kernel/kernel.hpp"

namespace tanagerlead::daemon_parts
{

http_service::http_service(std::unique_ptr<http::server> bound,
                           http::caller_api_settings settings,
                           request::claim_store& claims,
                           base::clock const& clock,
                           std::vector<add_routes> operator_apis)
    : server_{std::move(bound)}, settings_{std::move(settings)},
      claims_{claims}, clock_{clock}, operator_apis_{std::move(operator_apis)}
{
}

base::result<void> http_service::start(kernel::kernel& services)
{
    auto& scheduling = services.find<cell::scheduling_service>(
        cell::scheduling_service::service_name);
    auto& configuration = services.find<config::config_service>(
        config::config_service::service_name);
    callers_ = std::make_unique<http::caller_api>(
        settings_,
        http::caller_api_services{scheduling, scheduling, configuration,
                                  claims_, clock_, server_->loop()});
    callers_->add_routes(server_->routes());
    for (auto const& add : operator_apis_)
    {
        add(server_->routes());
    }
    return server_->start();
}

void http_service::stop()
{
    callers_->stop();
    server_->stop();
}

} // namespace tanagerlead::daemon_parts
