#pragma once

#include "src/entry/control_plane.hpp"
#include "src/entry/data_plane.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <thread>

namespace tanagerlead::entry
{

/// Creates the store client on the loop that uses it.
using store_factory = std::function<std::unique_ptr<metadata_store>(
    net::asio::io_context&, base::address const&)>;

/// The daemon process: runs the control plane on one thread and the data plane
/// on another.
class entry_daemon
{
public:
    /// `wire` must outlive the daemon. `settings_path` is read again on SIGHUP.
    entry_daemon(settings s, std::string settings_path, protocol const& wire,
                 store_factory const& make_store);
    ~entry_daemon();

    /// Runs until a graceful shutdown ends; returns false if the daemon cannot
    /// start.
    bool run();

private:
    void write_origins(routing::origin_archive::batch const& batch);
    void wait_for_signal();
    void on_signal(int number);
    void reload();

    settings settings_;
    std::string settings_path_;
    rate_limited_log log_{"daemon"};
    net::asio::io_context control_loop_{1};
    net::asio::io_context data_plane_loop_{1};
    net::asio::executor_work_guard<net::asio::io_context::executor_type>
        control_work_;
    net::asio::executor_work_guard<net::asio::io_context::executor_type>
        data_plane_work_;
    std::unique_ptr<metadata_store> store_;
    data_plane data_plane_;
    control_plane control_plane_;
    net::asio::signal_set signals_;
    net::deadline_timer log_flush_timer_;
    std::thread control_thread_;
    bool is_shutting_down_ = false;
};

} // namespace tanagerlead::entry
