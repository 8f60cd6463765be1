#pragma once

#include "record.hpp"

#include <thread>

#include <sys/types.h>

namespace tanagerlead::review
{

/// One daemon of the project, as a process of its own.
class daemon_process
{
public:
    daemon_process(std::string name, std::string zone, std::string ip,
                   int first_port);
    ~daemon_process();
    daemon_process(daemon_process const&) = delete;
    daemon_process& operator=(daemon_process const&) = delete;

    /// Starts the command of the deploy file with settings in `folder`.
    bool start(std::string const& folder);
    /// SIGKILL.
    void kill();
    /// Another signal.
    void send(int signal) const;
    /// The process has ended by itself or by a signal.
    bool has_ended();
    pid_t pid() const { return pid_; }
    /// Memory that is resident, in megabytes.
    double resident_mb() const;

    std::string const& name() const { return name_; }
    std::string const& zone() const { return zone_; }
    address front() const { return {ip_, first_port_ + 1}; }
    address ready() const { return {ip_, first_port_ + 2}; }
    address control() const { return {ip_, first_port_ + 3}; }
    address directory() const { return {ip_, first_port_}; }
    bool is_ready() const;

    /// Settings that all daemons share, as JSON members.
    std::string shared_settings_;

private:
    std::string settings_text() const;

    std::string name_;
    std::string zone_;
    std::string ip_;
    int first_port_;
    pid_t pid_ = -1;
};

/// Daemons in three zones before one store, with settings like those of a
/// small deployment.
class fleet
{
public:
    /// Ports that each daemon uses.
    static constexpr int ports = 6;

    /// `folder` holds the settings and the logs.
    fleet(int daemons, address const& store, std::string folder, record& log);

    /// Starts all daemons and waits until they are ready.
    bool start();
    void restart(daemon_process& each);
    std::vector<std::unique_ptr<daemon_process>>& daemons() { return daemons_; }

private:
    std::string folder_;
    record& log_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
};

/// Waits until `holds` is true, at most for `limit`.
template <class Condition>
bool wait_for(Condition const& holds, milliseconds limit)
{
    auto const end = steady::now() + limit;
    while (!holds())
    {
        if (steady::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
    return true;
}

/// A new folder for temporary files.
std::string make_folder();

} // namespace tanagerlead::review
