#pragma once

#include "tests/process/child_process.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlead::process
{

/// What a caller got.
struct answer
{
    /// HTTP status; 0 when the connection broke before it.
    int status_ = 0;
    std::string outcome_;
    std::string cause_;
    std::string request_;
    std::string text_;
    std::string body_;
    /// The final event came; without it a stream was cut.
    bool ended_ = false;
};

/// One completion to ask for.
struct question
{
    std::string key_;
    std::string prompt_;
    int output_tokens_ = 8;
    bool stream_ = true;
};

/// One call of a plain service that must not be repeated.
struct posting
{
    std::string key_;
    std::string idempotency_key_;
    std::string body_;
};

struct fleet_settings
{
    int daemons_ = 3;
    int engines_ = 4;
    int services_ = 1;
    /// Slots of each engine.
    int slots_ = 4;
    std::vector<std::string> engine_flags_;
    std::string policy_ = "tanagerlead";
    /// A relay stands between the daemons and each engine.
    bool relayed_ = false;
};

/// Daemons before fakes, all processes of their own, with the workspaces
/// "gold", "silver" and "bronze" of tiers 0, 1 and 2, whose bearer key is
/// their name; the model pool "report" and the service pool "till".
class fleet
{
public:
    explicit fleet(fleet_settings settings);
    ~fleet();

    /// Starts everything, writes the configuration and waits until all
    /// daemons are ready with it.
    bool start();
    /// Starts another daemon, or a new life of daemon `number`.
    bool start_daemon(int number);

    child_process& daemon(int number) { return daemons_.at(number).value(); }
    child_process& engine(int number) { return engines_.at(number).value(); }
    child_process& relay(int number) { return relays_.at(number).value(); }
    child_process& service(int number) { return services_.at(number).value(); }
    child_process& key_value() { return *key_value_; }
    child_process& host_list() { return *host_list_; }
    int engines() const { return settings_.engines_; }

    answer ask(int daemon, question const& asked) const;
    answer post(int daemon, posting const& posted) const;

    /// An operator's call; the status and body in `answer`.
    answer operate(int daemon, std::string const& method,
                   std::string const& path, std::string const& body) const;
    /// A merge patch on the configuration.
    answer patch(int daemon, int base_version, std::string const& id,
                 std::string const& merge) const;

    static void set_faults(child_process const& fake, std::string const& json);
    /// Gives an order to the relay before each engine.
    void order_relays(std::string const& json) const;
    /// Lists one engine, and no other target, with this state.
    void list_engine(int number, char const* state) const;
    /// How often each request reached a target, from the fakes' logs.
    std::map<std::string, int> dispatches() const;
    /// The same of one engine.
    std::map<std::string, int> dispatches_to(int engine) const;
    /// How often each idempotency key ran, from the services' logs.
    std::map<std::string, int> runs_by_key() const;
    /// Waits until `count` requests run or wait in all engines.
    bool wait_for_dispatches(std::size_t count) const;
    bool wait_until_ready(int daemon) const;
    /// The version that the daemon has in force; 0 when it cannot tell.
    int version(int daemon) const;
    /// Waits until the daemon has this version in force.
    bool wait_for_version(int daemon, int version) const;

    static std::string expected_text(question const& asked);

private:
    std::string configuration() const;
    std::string settings_file(int number) const;
    bool start_fakes();
    bool start_engine();
    base::address const& engine_address(int number) const;

    fleet_settings settings_;
    std::string folder_;
    std::optional<child_process> key_value_;
    std::optional<child_process> host_list_;
    std::deque<std::optional<child_process>> engines_;
    std::deque<std::optional<child_process>> relays_;
    std::deque<std::optional<child_process>> services_;
    std::deque<std::optional<child_process>> daemons_;
};

/// Looks again until `holds`, for at most a minute; what it waits for is an
/// event that must come, so only a failure takes that long.
bool wait_until(std::function<bool()> const& holds);

} // namespace tanagerlead::process
