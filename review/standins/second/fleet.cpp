#include "fleet.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace tanagerlead::review
{

using namespace std::chrono_literals;

namespace
{

/// The command of `run` in deploy/system.toml, with a settings file elsewhere.
constexpr char const* program = "target/tools/entry/tanagerlead_entryd";

constexpr std::array zones{"zone-a", "zone-b", "zone-c"};

} // namespace

daemon_process::daemon_process(std::string name, std::string zone,
                               std::string ip, int first_port)
    : name_{std::move(name)}, zone_{std::move(zone)}, ip_{std::move(ip)},
      first_port_{first_port}
{
}

daemon_process::~daemon_process()
{
    kill();
}

std::string daemon_process::settings_text() const
{
    auto const quoted = [](std::string const& text)
    {
        return "\"" + text + "\"";
    };
    return "{\"daemon\": " + quoted(name_) +
           ", \"data_centre\": " + quoted(zone_) +
           ", \"callers\": " + quoted(front().str()) +
           ", \"health\": " + quoted(ready().str()) +
           ", \"directory\": " + quoted(directory().str()) +
           ", \"peers\": " + quoted(control().str()) +
           ", \"report_port\": " + std::to_string(first_port_ + 4) +
           ", \"metrics_port\": " + std::to_string(first_port_ + 5) + ", " +
           shared_settings_ + "}\n";
}

bool daemon_process::start(std::string const& folder)
{
    auto const settings = folder + "/" + name_ + ".yaml";
    std::ofstream{settings} << settings_text();
    auto const option = "--settings=" + settings;
    auto const log = folder + "/" + name_ + ".log";
    pid_ = ::fork();
    if (pid_ == 0)
    {
        // No daemon outlives the script.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        auto const out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                S_IRUSR | S_IWUSR);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(program, program, option.c_str(), nullptr);
        ::_exit(127);
    }
    return pid_ > 0;
}

void daemon_process::send(int signal) const
{
    if (pid_ > 0)
    {
        ::kill(pid_, signal);
    }
}

void daemon_process::kill()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

bool daemon_process::has_ended()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
    {
        pid_ = -1;
    }
    return pid_ <= 0;
}

double daemon_process::resident_mb() const
{
    std::ifstream file{"/proc/" + std::to_string(pid_) + "/statm"};
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576;
}

bool daemon_process::is_ready() const
{
    request asked;
    asked.target_ = "/v1/ready";
    asked.headers_["Host"] = ready().str();
    auto const answer = call(ready(), asked, 300ms);
    return answer && answer->status_ == 200;
}

fleet::fleet(int daemons, address const& store, std::string folder, record& log)
    : folder_{std::move(folder)}, log_{log}
{
    // Each run has loopback addresses of its own.
    auto const net = "127." + std::to_string(20 + ::getpid() % 200) + "." +
                     std::to_string(1 + ::getpid() / 200 % 200) + ".";
    std::vector<std::string> ips;
    for (int i = 0; i < daemons; ++i)
    {
        ips.push_back(net + std::to_string(i + 1));
    }
    auto const first_port = find_free_ports(ips, ports);
    for (int i = 0; i < daemons; ++i)
    {
        auto const at = static_cast<std::size_t>(i);
        daemons_.push_back(std::make_unique<daemon_process>(
            "front-" + std::to_string(i + 1), zones.at(at % zones.size()),
            ips.at(at), first_port));
    }
    std::string seeds;
    for (std::size_t i = 0; i < daemons_.size() && i < 3; ++i)
    {
        seeds += (i == 0 ? "\"" : ", \"") + daemons_[i]->control().str() + "\"";
    }
    for (auto const& each : daemons_)
    {
        each->shared_settings_ =
            "\"seeds\": [" + seeds + "], \"store\": \"" + store.str() +
            "\", \"most_descriptors\": 4100, \"grace_seconds\": 8, "
            "\"retry_ratio\": 0.2, \"retry_slack\": 54, "
            "\"retry_window_seconds\": 10, \"quota_slack\": 110000, "
            "\"share_target_outages\": false";
    }
}

bool fleet::start()
{
    for (auto const& each : daemons_)
    {
        restart(*each);
    }
    return wait_for(
        [this]
        {
            return std::all_of(daemons_.begin(), daemons_.end(),
                               [](auto const& each)
                               { return each->is_ready(); });
        },
        15s);
}

void fleet::restart(daemon_process& each)
{
    log_.add("daemon " + each.name() + " starts");
    each.start(folder_);
}

std::string make_folder()
{
    auto text =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return ::mkdtemp(text.data()) == nullptr ? std::string{} : text;
}

} // namespace tanagerlead::review
