#pragma once

#include "src/entry/configuration_reader.hpp"
#include "src/entry/daemon_registration.hpp"
#include "src/entry/origin_store.hpp"
#include "src/entry/registry_reader.hpp"
#include "src/entry/settings.hpp"
#include "src/entry/store_era_tracker.hpp"
#include "src/entry/stream_start_store.hpp"
#include "src/net/http_client.hpp"
#include "src/net/http_listener.hpp"

namespace tanagerlead::entry
{

/// Receivers of control plane state; called on the control plane's thread.
struct control_plane_outputs
{
    configuration_reader::publish_callback configuration_;
    registry_reader::publish_callback targets_;
    daemon_registration::publish_callback daemons_;
    /// Called when the store was restored from an older copy.
    std::function<void()> store_restored_;
    /// Called when the registry has changed.
    std::function<void(routing::registry_change)> registry_changed_ =
        [](routing::registry_change) {
        };
    /// Called with false when the registry may have changed unnoticed, and with
    /// true when it has been read again.
    std::function<void(bool is_current)> registry_state_ = [](bool) {
    };
    /// Called with a time until which all changes of the registry are in the
    /// targets.
    std::function<void(base::time_point)> registry_confirmed_ =
        [](base::time_point) {
        };
    /// Called with the registry entry of a target, if there is one, and when
    /// its reading was sent.
    std::function<void(base::target_id, std::optional<routing::target_info>,
                       base::time_point asked)>
        entry_read_ = [](base::target_id const&,
                         std::optional<routing::target_info> const&,
                         base::time_point) {
        };
    /// Called with origins of streams that were read from the store.
    origin_store::read_callback origins_ = [](routing::stream_message const&) {
    };
    /// Called when the starts of this daemon's streams are in the store, and
    /// with those of all daemons.
    stream_start_store::outputs starts_{[](routing::stream_starts::revision) {},
                                        [](kept_stream_starts const&) {
                                        }};
};

/// Maintains the configuration, the target registry and the list of daemons.
/// Each is read from the store independently of the others, but after an outage
/// the first one that reaches the store again makes the others try at once: the
/// time that missing targets are kept counts from there. Other daemons hurry
/// the reading of the registry when they know of later changes. Everything runs
/// on one loop.
class control_plane
{
public:
    control_plane(net::asio::io_context& loop, metadata_store& store,
                  protocol const& wire, settings const& s,
                  control_plane_outputs outputs);

    base::result<void> start();
    /// Fetches the configuration from the daemon at `ip`, which has a newer
    /// one.
    void on_newer_configuration(std::string const& ip);
    /// Another daemon knows of this change of the registry.
    void on_registry_change(routing::registry_change change);
    /// Keeps origins of streams in the store.
    void write_origins(routing::stream_message message,
                       origin_store::written_callback done)
    {
        origins_.write(std::move(message), std::move(done));
    }
    void read_origins() { origins_.read(); }
    /// Keeps the starts of this daemon's streams in the store.
    void write_starts(routing::stream_starts::update update)
    {
        starts_.write(std::move(update));
    }
    void read_starts() { starts_.read(); }
    /// Reads the registry entry of one target as it is now.
    void read_entry(base::target_id const& target);
    /// Place of this daemon among those that hear each other.
    void on_position(routing::follower_position position);
    /// Stops reading the store and deregisters this daemon. `done` may run
    /// before the call returns.
    void shut_down(std::function<void()> done);

private:
    void on_new_era(store_era fresh);
    void on_entry(base::target_id const& target, base::time_point asked,
                  base::result<store_item> const& item);
    void
    serve_configuration(std::shared_ptr<net::caller_connection> const& from,
                        net::http_request const& request);

    settings settings_;
    metadata_store& store_;
    protocol const& protocol_;
    decltype(control_plane_outputs::entry_read_) entry_read_;
    rate_limited_log log_{"control"};
    configuration_reader configuration_;
    registry_reader registry_;
    store_watcher configuration_watcher_;
    store_watcher registry_watcher_;
    daemon_registration registration_;
    origin_store origins_;
    stream_start_store starts_;
    std::function<void()> report_restoration_;
    store_era_tracker era_;
    net::http_client peers_;
    net::http_listener listener_;
    /// Connections that may still send the configuration to another daemon.
    std::vector<std::weak_ptr<net::caller_connection>> served_;
    bool is_fetching_ = false;
    /// Readings of single entries.
    callback_guard calls_;
};

} // namespace tanagerlead::entry
