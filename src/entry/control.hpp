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
struct control_outputs
{
    configuration_reader::published configuration_;
    registry_reader::published targets_;
    daemon_registration::published daemons_;
};

/// Control state of one daemon: configuration, registry and the list of
/// daemons, each read from the store by itself. All on one loop.
class control
{
public:
    control(net::asio::io_context& loop, metadata_store& store,
            protocol const& speech, settings const& s, control_outputs outputs);

    base::result<void> start();
    /// Another daemon has a newer configuration.
    void on_newer_configuration(std::string const& ip);
    /// Planned stop; `done` is called soon.
    void leave(std::function<void()> done);

private:
    void
    serve_configuration(std::shared_ptr<net::caller_connection> const& from,
                        net::http_request const& request);

    settings settings_;
    event_log log_{"control"};
    configuration_reader configuration_;
    registry_reader registry_;
    store_follower configuration_follower_;
    store_follower registry_follower_;
    daemon_registration registration_;
    net::http_client peers_;
    net::http_listener listener_;
    bool fetching_ = false;
};

} // namespace tanagerlead::entry
