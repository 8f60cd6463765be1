#pragma once

#include "src/entry/configuration_reader.hpp"
#include "src/entry/daemon_registration.hpp"
#include "src/entry/registry_reader.hpp"
#include "src/entry/settings.hpp"
#include "src/net/http_client.hpp"
#include "src/net/http_listener.hpp"

namespace tanagerlead::entry
{

/// Where control state goes. Called on the control thread.
struct control_plane_outputs
{
    configuration_reader::publish_callback configuration_;
    registry_reader::publish_callback targets_;
    daemon_registration::publish_callback daemons_;
};

/// Control state of one daemon: configuration, registry and the list of
/// daemons, each read from the store by itself. All on one loop.
class control_plane
{
public:
    control_plane(net::asio::io_context& loop, metadata_store& store,
                  protocol const& wire, settings const& s,
                  control_plane_outputs outputs);

    base::result<void> start();
    /// Another daemon has a newer configuration.
    void on_newer_configuration(std::string const& ip);
    /// Planned stop; `done` is called soon.
    void shut_down(std::function<void()> done);

private:
    void
    serve_configuration(std::shared_ptr<net::caller_connection> const& from,
                        net::http_request const& request);

    settings settings_;
    rate_limited_log log_{"control"};
    configuration_reader configuration_;
    registry_reader registry_;
    store_watcher configuration_watcher_;
    store_watcher registry_watcher_;
    daemon_registration registration_;
    net::http_client peers_;
    net::http_listener listener_;
    bool is_fetching_ = false;
};

} // namespace tanagerlead::entry
