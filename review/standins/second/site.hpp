#pragma once

#include "fleet.hpp"
#include "requester.hpp"
#include "runner.hpp"

namespace tanagerlead::review
{

/// Exit codes of a script.
enum class verdict : std::uint8_t
{
    held = 0,
    broken = 1,
    not_run = 2,
};

/// A small deployment: a store, runners and daemons.
class site
{
public:
    /// The record is written into `folder`.
    site(int daemons, std::string const& folder);
    ~site();
    site(site const&) = delete;
    site& operator=(site const&) = delete;

    /// `example` tells what all runners have in common.
    void add_runners(int count, runner_settings const& example);
    /// A runner that takes the place and the address of one that has ended.
    runner& replace(runner const& ended);
    /// Starts everything with these routes, and waits until all daemons have
    /// been undisturbed for `StableWindowMs`.
    bool start(std::vector<route> const& routes);

    store& registry() { return store_; }
    record& log() { return log_; }
    fleet& daemons() { return fleet_; }
    std::vector<std::unique_ptr<runner>>& runners() { return runners_; }
    /// Directory addresses, those of the zone first.
    std::vector<address> directories(std::string const& zone);

private:
    static constexpr milliseconds stable_window{3000};

    address free_address();

    std::string temporary_;
    record log_;
    int next_port_;
    address store_at_;
    store store_;
    std::vector<std::unique_ptr<runner>> runners_;
    fleet fleet_;
    int lifetimes_ = 0;
};

/// False if the environment says TROUBLE=0.
bool has_trouble();

/// Ends the script with what it found.
int finish(record& log, verdict found, std::string const& why);

} // namespace tanagerlead::review
