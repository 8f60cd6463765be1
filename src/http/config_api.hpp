#pragma once

#include "src/config/config_service.hpp"
#include "src/http/operator_guard.hpp"

#include <functional>
#include <string>
#include <vector>

namespace tanagerlead::http
{

/// The version in force on one daemon.
struct daemon_version
{
    base::daemon_id daemon_;
    base::data_centre_id data_centre_;
    /// As membership names it, for example "alive".
    std::string state_;
    base::config_version version_{};
};

/// Operators' calls on the configuration, under `/operator/v1/config`.
class config_api
{
public:
    /// All daemons that this one knows; any thread.
    using version_reader = std::function<std::vector<daemon_version>()>;

    /// `service` must outlive the server that the routes are added to, and so
    /// must this.
    config_api(config::config_service& service, operator_guard guard,
               version_reader versions);

    void add_routes(router& to);

private:
    void get(http_call const& in, http_reply& out);
    void validate(http_call const& in, http_reply& out);
    void patch(http_call const& in, http_reply& out);
    void history(http_call const& in, http_reply& out);
    void in_force(http_call const& in, http_reply& out);

    config::config_service& service_;
    operator_guard guard_;
    version_reader versions_;
};

} // namespace tanagerlead::http
