#pragma once

#include "src/config/config_service.hpp"
#include "src/http/operator_guard.hpp"

namespace tanagerlead::http
{

/// Operators' drain of a target, `POST /operator/v1/drain`. A drain is a
/// patch of the configuration, so it outlives every daemon.
class drain_api
{
public:
    /// `service` must outlive the server that the routes are added to, and so
    /// must this.
    drain_api(config::config_service& service, operator_guard guard)
        : service_{service}, guard_{std::move(guard)}
    {
    }

    void add_routes(router& to);

private:
    void drain(http_call const& in, http_reply& out);
    /// Conflicts are resolved on the newer version.
    base::result<config::submit_answer> submit(base::target_id const& target,
                                               bool draining);
    base::result<config::submit_answer>
    submit_once(base::target_id const& target, bool draining);

    config::config_service& service_;
    operator_guard guard_;
};

} // namespace tanagerlead::http
