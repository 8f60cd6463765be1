#include "tests/soak/daemon_process.hpp"

#include "src/net/event_loop.hpp"
#include "tests/process/spawn.hpp"
#include "tests/soak/ledger.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace tanagerlead::soak
{

namespace
{

/// The same on all hosts, as the daemons expect.
enum port : std::uint16_t
{
    callers_port = 7001,
    health_port,
    directory_port,
    peers_port,
    report_port,
    metrics_port,
};

} // namespace

daemon_process::daemon_process(int number, std::string ip,
                               base::address const& store)
    : number_{number}, ip_{std::move(ip)}, store_relay_{{"127.0.0.1", 0}, store}
{
    store_relay_.start().value();
}

daemon_process::~daemon_process()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

base::address daemon_process::callers() const
{
    return {ip_, callers_port};
}

base::address daemon_process::health() const
{
    return {ip_, health_port};
}

base::address daemon_process::directory() const
{
    return {ip_, directory_port};
}

base::address daemon_process::metrics() const
{
    return {ip_, metrics_port};
}

std::string
daemon_process::settings_text(std::vector<std::string> const& seed_ips) const
{
    auto seeds = nlohmann::json::array();
    for (auto const& ip : seed_ips)
    {
        seeds.push_back(base::address{ip, peers_port}.str());
    }
    nlohmann::json const settings{
        {"daemon", "d" + std::to_string(number_)},
        {"data_centre", "z" + std::to_string(number_ % 2)},
        {"callers", callers().str()},
        {"health", health().str()},
        {"directory", directory().str()},
        {"peers", base::address{ip_, peers_port}.str()},
        {"report_port", report_port},
        {"metrics_port", metrics_port},
        {"seeds", seeds},
        {"store", store_relay_.address().str()},
        {"most_descriptors", 1000},
        {"grace_seconds", base::seconds(grace)},
        {"retry_ratio", retry_ratio},
        {"retry_slack", retry_slack},
        {"retry_window_seconds", retry_window_seconds},
        {"quota_slack", quota_slack}};
    return settings.dump();
}

void daemon_process::start(std::string const& program,
                           std::string const& folder,
                           std::vector<std::string> const& seed_ips)
{
    auto const base = folder + "/d" + std::to_string(number_);
    std::ofstream{base + ".json"} << settings_text(seed_ips);
    auto const log = ::open((base + ".log").c_str(),
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = process::spawn(program, {"--settings=" + base + ".json"}, log, log);
    ::close(log);
    was_killed_ = false;
    stopped_at_.reset();
    version_ = 0;
    frozen_ = false;
    calm_since_ = net::now();
}

void daemon_process::signal(int number)
{
    if (pid_ <= 0)
    {
        return;
    }
    ::kill(pid_, number);
    frozen_ = number == SIGSTOP || (frozen_ && number != SIGCONT);
    if (number == SIGCONT)
    {
        calm_since_ = net::now();
    }
}

std::optional<int> daemon_process::take_end()
{
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
    {
        return std::nullopt;
    }
    pid_ = -1;
    frozen_ = false;
    return process::end_of(status);
}

} // namespace tanagerlead::soak
