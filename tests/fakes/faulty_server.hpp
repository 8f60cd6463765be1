#pragma once

#include "src/base/address.hpp"
#include "src/base/error.hpp"
#include "tests/fakes/blocking_server.hpp"
#include "tests/fakes/fault_switches.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace httplib
{
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace tanagerlead::fakes
{

/// Names the connection that carries a request.
std::string remote_end(httplib::Request const& request);

/// The HTTP side of a fake target: its traffic port, and a control port that
/// works whatever fault is on. `/fake/faults` and `/fake/log` answer on both.
class faulty_server
{
public:
    struct handler_set
    {
        /// Adds the routes of the target; called again after connections were
        /// refused for a while.
        std::function<void(httplib::Server&)> routes_;
        /// JSON text of `GET /fake/log`; without the list of requests when
        /// `totals_only`.
        std::function<std::string(bool totals_only)> log_;
        /// Runs after the switches changed.
        std::function<void(fault_switches const&)> faults_changed_;
    };

    faulty_server(blocking_server_settings settings, handler_set handlers);
    ~faulty_server();

    base::result<void> start();
    /// Wakes what waits for a switch, then ends both ports.
    void stop();

    base::address address() const { return settings_.listen_; }
    base::address control_address() const;

    fault_switches faults() const;
    bool stopping() const { return stopping_; }
    /// Whether nothing may be written on the connection with this remote end.
    bool silenced(std::string const& remote_end) const;
    /// Blocks while the connection is silenced.
    void wait_while_silenced(std::string const& remote_end) const;

private:
    base::result<void> listen();
    void add_fake_routes(httplib::Server& server);
    void change(httplib::Request const& request, httplib::Response& response);
    void apply(fault_switches const& faults);
    void refuse(bool on);
    void note_connection(std::string const& remote_end);

    blocking_server_settings settings_;
    handler_set handlers_;
    std::unique_ptr<blocking_server> traffic_;
    std::unique_ptr<blocking_server> control_;
    /// Ends `traffic_` beside streams that still run.
    std::thread closer_;
    std::atomic<bool> stopping_{false};

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::mutex change_mutex_;
    fault_switches faults_;
    /// Remote ends of connections that carried a request.
    std::set<std::string> known_;
    std::set<std::string> silenced_;
};

} // namespace tanagerlead::fakes
