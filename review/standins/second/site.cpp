#include "site.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace tanagerlead::review
{

using namespace std::chrono_literals;

namespace
{

constexpr char const* loopback = "127.0.0.1";
/// Ports for the store and the runners.
constexpr int site_ports = 64;

} // namespace

site::site(int daemons, std::string const& folder)
    : temporary_{make_folder()}, log_{folder + "/record.txt"},
      next_port_{find_free_ports({loopback}, site_ports)},
      store_at_{free_address()}, store_{store_at_}, fleet_{daemons, store_at_,
                                                           temporary_, log_}
{
}

address site::free_address()
{
    return {loopback, next_port_++};
}

site::~site()
{
    for (auto const& each : fleet_.daemons())
    {
        each->kill();
    }
    for (auto const& each : runners_)
    {
        each->crash();
    }
    if (std::getenv("KEEP") == nullptr)
    {
        std::error_code error;
        std::filesystem::remove_all(temporary_, error);
    }
    else
    {
        std::cout << "logs in " << temporary_ << "\n";
    }
}

void site::add_runners(int count, runner_settings const& example)
{
    constexpr std::array zones{"zone-a", "zone-b", "zone-c"};
    for (int i = 0; i < count; ++i)
    {
        auto fresh = example;
        fresh.id_ =
            "i-" + example.service_ + "-" + std::to_string(runners_.size());
        fresh.zone_ = zones.at(static_cast<std::size_t>(i) % zones.size());
        fresh.at_ = free_address();
        runners_.push_back(std::make_unique<runner>(fresh, store_, log_));
    }
}

runner& site::replace(runner const& ended)
{
    auto fresh = ended.settings();
    fresh.id_ += "-" + std::to_string(++lifetimes_);
    runners_.push_back(std::make_unique<runner>(fresh, store_, log_));
    runners_.back()->start();
    log_.add("runner " + fresh.id_ + " starts at " + fresh.at_.str());
    return *runners_.back();
}

bool site::start(std::vector<route> const& routes)
{
    if (!store_.start())
    {
        return false;
    }
    store_.put("op/config", configuration(7, routes));
    for (auto const& each : runners_)
    {
        if (!each->start())
        {
            return false;
        }
    }
    if (!fleet_.start())
    {
        return false;
    }
    std::this_thread::sleep_for(stable_window + 1s);
    log_.add("all daemons are ready and in touch");
    return true;
}

std::vector<address> site::directories(std::string const& zone)
{
    std::vector<address> here;
    std::vector<address> elsewhere;
    for (auto const& each : fleet_.daemons())
    {
        (each->zone() == zone ? here : elsewhere).push_back(each->directory());
    }
    here.insert(here.end(), elsewhere.begin(), elsewhere.end());
    return here;
}

bool has_trouble()
{
    auto const* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view{text} != "0";
}

int finish(record& log, verdict found, std::string const& why)
{
    log.add(why);
    std::cout << why << "\n";
    return static_cast<int>(found);
}

} // namespace tanagerlead::review
