#include "fleet.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

using nlohmann::json;

namespace
{

constexpr int ports_of_a_daemon = 6;
constexpr milliseconds start_time{15000};

std::string make_folder()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return ::mkdtemp(name.data()) == nullptr ? std::string{} : name;
}

/// Loopback addresses of this run.
std::string make_net()
{
    auto const id = ::getpid();
    return "127." + std::to_string(20 + id % 200) + "." +
           std::to_string(1 + id / 200 % 250) + ".";
}

std::optional<message> ask(address const& at, std::string const& target)
{
    auto const with = connection::open(at, 500ms);
    message request;
    request.first_line_ = "GET " + target + " HTTP/1.1";
    request.add("Host", "platform");
    message answer;
    auto const until = steady::now() + 1s;
    if (!with || !with->send(request.head_text("")) ||
        with->read_head(answer, until) != read_end::ok ||
        with->read_body(answer, until) != read_end::ok)
    {
        return std::nullopt;
    }
    return answer;
}

} // namespace

child::child(std::vector<std::string> const& command, std::string const& log)
{
    std::vector<char*> words;
    for (auto const& word : command)
    {
        words.push_back(const_cast<char*>(word.c_str()));
    }
    words.push_back(nullptr);
    std::string path = "PATH=/usr/bin:/bin";
    std::vector<char*> environment{path.data(), nullptr};
    auto const parent = ::getpid();
    id_ = ::fork();
    if (id_ == 0)
    {
        // No process is left if this one is ended.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        auto const out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        if (::getppid() == parent)
        {
            ::execve(words.front(), words.data(), environment.data());
        }
        ::_exit(127);
    }
}

child::~child()
{
    kill();
}

child::child(child&& other) noexcept : id_{std::exchange(other.id_, -1)}
{
}

child& child::operator=(child&& other) noexcept
{
    if (this != &other)
    {
        kill();
        id_ = std::exchange(other.id_, -1);
    }
    return *this;
}

void child::kill()
{
    if (id_ > 0)
    {
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
        id_ = -1;
    }
}

void child::signal(int number) const
{
    if (id_ > 0)
    {
        ::kill(id_, number);
    }
}

bool child::has_ended()
{
    if (id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == id_)
    {
        id_ = -1;
    }
    return id_ < 0;
}

fleet::fleet(std::string root, std::string record, fleet_settings s)
    : root_{std::move(root)}, record_path_{std::move(record)},
      settings_{std::move(s)}, folder_{make_folder()}, net_{make_net()},
      record_{record_path_, true}, store_{net_ + "200"}
{
}

// The same ports on all machines.
bool fleet::choose_ports()
{
    for (int first = 21000; first < 29000; first += ports_of_a_daemon)
    {
        auto free = true;
        for (int d = 0; free && d < settings_.daemons_; ++d)
        {
            for (int p = 0; free && p < ports_of_a_daemon; ++p)
            {
                free = is_port_free({net_ + std::to_string(d + 1),
                                     static_cast<std::uint16_t>(first + p)});
            }
        }
        if (free)
        {
            first_port_ = static_cast<std::uint16_t>(first);
            return true;
        }
    }
    return false;
}

void fleet::start_runner(std::size_t number)
{
    auto& place = runners_[number];
    place.process_ =
        child{{root_ + "/target/review/runner", "id=" + place.id_,
               "ip=" + place.at_.ip_, "port=" + std::to_string(place.at_.port_),
               "store=" + store_.where().str(), "service=tanager-pool",
               "zone=" + place.zone_, "version=" + place.version_,
               "slots=" + std::to_string(settings_.slots_),
               "record=" + record_path_, "framing=" + settings_.framing_},
              folder_ + "/runner.log"};
}

void fleet::start_daemon(std::size_t number)
{
    auto& place = daemons_[number];
    ++place.starts_;
    place.process_ = child{{root_ + "/target/tools/entry/tanagerlead_entryd",
                            "--settings=" + place.settings_},
                           folder_ + "/" + place.name_ + ".log"};
}

bool fleet::start()
{
    if (folder_.empty() || !choose_ports())
    {
        return false;
    }
    store_.put("op/config", json{{"Version", 3},
                                 {"Routes", settings_.routes_},
                                 {"Services", {{{"Name", "tanager-pool"}}}},
                                 {"Limits",
                                  {{"MaxHeaderBytes", 16384},
                                   {"MaxBodyBytes", 4194304},
                                   {"HeaderTimeoutMs", 3000},
                                   {"IdleTimeoutMs", 15000}}},
                                 {"Tenants", json::array()}}
                                .dump());
    for (int i = 0; i < settings_.runners_; ++i)
    {
        address at{net_ + std::to_string(100 + i), 0};
        // The port stays reserved by its address, which no one else uses.
        ::close(listen_at(at));
        runners_.push_back(
            {"i-" + std::to_string(1000 + i), at, zone_of(i), "4.1", child{}});
        start_runner(runners_.size() - 1);
    }
    auto const port = [this](int number)
    {
        return static_cast<std::uint16_t>(first_port_ + number);
    };
    for (int i = 0; i < settings_.daemons_; ++i)
    {
        auto const ip = net_ + std::to_string(i + 1);
        auto const name = "front-" + std::to_string(i + 1);
        auto const path = folder_ + "/" + name + ".json";
        auto seeds = json::array();
        for (int s = 1; s <= 3; ++s)
        {
            seeds.push_back(address{net_ + std::to_string(s), port(3)}.str());
        }
        std::ofstream{path} << json{{"daemon", name},
                                    {"data_centre", zone_of(i)},
                                    {"callers", address{ip, port(0)}.str()},
                                    {"health", address{ip, port(1)}.str()},
                                    {"directory", address{ip, port(2)}.str()},
                                    {"peers", address{ip, port(3)}.str()},
                                    {"report_port", port(4)},
                                    {"metrics_port", port(5)},
                                    {"seeds", seeds},
                                    {"store", store_.where().str()},
                                    {"most_descriptors", 4100},
                                    {"grace_seconds", 8},
                                    {"retry_ratio", 0.2},
                                    {"retry_slack", 54},
                                    {"retry_window_seconds", 10},
                                    {"quota_slack", 110000},
                                    {"share_target_outages", false}};
        daemons_.push_back({name, ip, path, child{}, 0});
        start_daemon(daemons_.size() - 1);
    }
    auto const until = steady::now() + start_time;
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        while (!is_ready(i))
        {
            if (steady::now() > until)
            {
                return false;
            }
            std::this_thread::sleep_for(50ms);
        }
    }
    return true;
}

bool fleet::is_ready(std::size_t number) const
{
    auto const answer =
        ask({daemons_[number].ip_, static_cast<std::uint16_t>(first_port_ + 1)},
            "/v1/ready");
    return answer && answer->status() == 200;
}

address fleet::front(std::size_t number) const
{
    return {daemons_[number].ip_, first_port_};
}

std::vector<address> fleet::resolve(std::size_t seed,
                                    std::string const& zone) const
{
    constexpr int tries = 3;
    for (std::size_t i = 0; i < tries; ++i)
    {
        auto const& at = daemons_[(seed + i) % daemons_.size()];
        auto const answer =
            ask({at.ip_, static_cast<std::uint16_t>(first_port_ + 2)},
                "/v1/resolve?Name=shops.example&Region=bzh-ouest&Zone=" + zone);
        if (!answer || answer->status() != 200)
        {
            continue;
        }
        std::vector<address> out;
        auto const body = json::parse(answer->body_);
        for (auto const& each : body.at("Addresses"))
        {
            out.push_back(parse_address(each.get<std::string>()));
        }
        if (!out.empty())
        {
            return out;
        }
    }
    return {};
}

void fleet::stop()
{
    runners_.clear();
    daemons_.clear();
    std::error_code ignored;
    if (std::getenv("REVIEW_KEEP") == nullptr)
    {
        std::filesystem::remove_all(folder_, ignored);
    }
}

std::string zone_of(int number)
{
    static constexpr std::array zones{"brest-a", "quimper-b", "lorient-c"};
    return zones.at(static_cast<std::size_t>(number) % zones.size());
}

bool has_trouble()
{
    auto const* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view{text} != "0";
}

} // namespace review
