#pragma once

#include "src/config/config_service.hpp"
#include "src/http/operator_guard.hpp"

#include <functional>
#include <string>
#include <vector>

namespace httplib
{
class Server;
}

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

    void add_routes(httplib::Server& server);

private:
    void get(httplib::Request const& in, httplib::Response& out);
    void validate(httplib::Request const& in, httplib::Response& out);
    void patch(httplib::Request const& in, httplib::Response& out);
    void history(httplib::Request const& in, httplib::Response& out);
    void in_force(httplib::Request const& in, httplib::Response& out);

    config::config_service& service_;
    operator_guard guard_;
    version_reader versions_;
};

} // namespace tanagerlead::http
