#include "review/standins-3/daemon.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace tanagerlead::review
{

using namespace std::chrono_literals;

namespace
{

constexpr base::duration watch_interval = 5ms;
/// Until the platform starts a process again that has ended.
constexpr base::duration restart_delay = 500ms;
constexpr double bytes_per_mib = 1 << 20;

/// Ports on each address, as the settings of the platform name them.
enum port : std::uint16_t
{
    directory_port = 8220,
    health_port = 8224,
    control_port = 8229,
    report_port = 7600,
    metrics_port = 7615,
};

std::string at(std::string const& ip, std::uint16_t port)
{
    return ip + ":" + std::to_string(port);
}

} // namespace

daemon::daemon(net::asio::io_context& loop, int number, place where,
               record& out)
    : number_{number}, place_{std::move(where)}, record_{out},
      name_{"front-" + std::to_string(number)}, timer_{loop, [this]
                                                       {
                                                           watch();
                                                       }}
{
}

daemon::~daemon()
{
    kill();
}

/// What `deploy/settings.json.template` makes of the settings of a machine.
std::string daemon::settings_text() const
{
    constexpr int descriptors = 4100;
    constexpr double grace_seconds = 8;
    constexpr double retry_ratio = 0.2;
    constexpr double retry_slack = 54;
    constexpr double retry_window_seconds = 10;
    constexpr double quota_slack = 110000;
    auto seeds = nlohmann::json::array();
    for (auto const& ip : place_.seed_ips_)
    {
        seeds.push_back(at(ip, control_port));
    }
    return nlohmann::json{{"daemon", name_},
                          {"data_centre", place_.zone_},
                          {"callers", at(place_.ip_, callers_port)},
                          {"health", at(place_.ip_, health_port)},
                          {"directory", at(place_.ip_, directory_port)},
                          {"peers", at(place_.ip_, control_port)},
                          {"report_port", report_port},
                          {"metrics_port", metrics_port},
                          {"seeds", seeds},
                          {"store", place_.store_.str()},
                          {"most_descriptors", descriptors},
                          {"grace_seconds", grace_seconds},
                          {"retry_ratio", retry_ratio},
                          {"retry_slack", retry_slack},
                          {"retry_window_seconds", retry_window_seconds},
                          {"quota_slack", quota_slack},
                          {"share_target_outages", false}}
        .dump();
}

void daemon::start()
{
    auto const base = place_.folder_ + "/" + name_;
    std::ofstream{base + ".json"} << settings_text();
    auto const settings = "--settings=" + base + ".json";
    std::array<std::string, 2> words{place_.program_, settings};
    std::array<char*, 3> argv{words[0].data(), words[1].data(), nullptr};
    auto const log = ::open((base + ".log").c_str(),
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, log, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, log, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    if (::posix_spawn(&pid_, place_.program_.c_str(), &actions, nullptr,
                      argv.data(), environ) != 0)
    {
        pid_ = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    ::close(log);
    start_at_.reset();
    record_.note(name_ + " started, pid " + std::to_string(pid_));
    timer_.set_after(watch_interval);
}

void daemon::kill()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        record_.note(name_ + " killed");
    }
    pid_ = -1;
    start_at_.reset();
    timer_.clear();
}

double daemon::resident_mib() const
{
    std::ifstream file{"/proc/" + std::to_string(pid_) + "/statm"};
    double total_pages = 0;
    double resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) /
           bytes_per_mib;
}

void daemon::watch()
{
    auto const now = net::now();
    if (start_at_ && *start_at_ <= now)
    {
        start();
        return;
    }
    timer_.set_after(watch_interval);
    if (pid_ <= 0)
    {
        return;
    }
    int status = 0;
    auto why = std::string{"ended by itself"};
    auto has_ended = ::waitpid(pid_, &status, WNOHANG) == pid_;
    if (!has_ended)
    {
        auto const used = resident_mib();
        peak_mib_ = std::max(peak_mib_, used);
        if (used > memory_mib)
        {
            why = "killed by the platform: " + std::to_string(used) +
                  " MiB of " + std::to_string(memory_mib);
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, &status, 0);
            has_ended = true;
        }
    }
    if (has_ended)
    {
        ++own_ends_;
        pid_ = -1;
        start_at_ = now + restart_delay;
        record_.note(name_ + " " + why);
    }
}

} // namespace tanagerlead::review
