#pragma once

#include "store.hpp"

#include <functional>
#include <memory>
#include <optional>

#include <sys/types.h>

namespace review
{

/// A process that this program started.
class child
{
public:
    child() = default;
    /// Output goes to `log`. Nothing is inherited but PATH.
    child(std::vector<std::string> const& command, std::string const& log);
    ~child();
    child(child&& other) noexcept;
    child& operator=(child&& other) noexcept;
    child(child const&) = delete;
    child& operator=(child const&) = delete;

    pid_t id() const { return id_; }
    /// Sends SIGKILL and waits.
    void kill();
    void signal(int number) const;
    /// Whether it has ended by itself or by a signal.
    bool has_ended();

private:
    pid_t id_ = -1;
};

struct runner_place
{
    std::string id_;
    address at_;
    std::string zone_;
    std::string version_;
    child process_;
};

struct daemon_place
{
    std::string name_;
    std::string ip_;
    std::string settings_;
    child process_;
    int starts_ = 0;
};

struct fleet_settings
{
    int daemons_ = 7;
    int runners_ = 12;
    int slots_ = 6;
    std::string framing_ = "chunked";
    /// What the operator writes as the routes.
    nlohmann::json routes_;
};

/// The store, runners and daemons of one case. Daemons are started with the
/// command of the deploy file and settings by its template.
class fleet
{
public:
    /// `root`: the repository; `record`: the file with what happened.
    fleet(std::string root, std::string record, fleet_settings s);

    /// False if not all daemons become ready.
    bool start();
    void start_runner(std::size_t number);
    void start_daemon(std::size_t number);
    bool is_ready(std::size_t number) const;

    store& platform() { return store_; }
    record_file& record() { return record_; }
    std::vector<runner_place>& runners() { return runners_; }
    std::vector<daemon_place>& daemons() { return daemons_; }
    std::string const& folder() const { return folder_; }
    address front(std::size_t number) const;
    /// Front addresses by a directory that answers; empty if none does.
    std::vector<address> resolve(std::size_t seed,
                                 std::string const& zone) const;
    /// Ends all processes and removes the temporary folder.
    void stop();

private:
    bool choose_ports();

    std::string root_;
    std::string record_path_;
    fleet_settings settings_;
    std::string folder_;
    std::string net_;
    std::uint16_t first_port_ = 0;
    record_file record_;
    store store_;
    std::vector<runner_place> runners_;
    std::vector<daemon_place> daemons_;
};

/// The zone of a machine, a runner or a requester with this number.
std::string zone_of(int number);

/// Set TROUBLE=0 to leave the disruption out.
bool has_trouble();

} // namespace review
