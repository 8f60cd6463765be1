#pragma once

#include "tests/soak/daemon_process.hpp"
#include "tests/soak/platform_store.hpp"
#include "tests/soak/platform_target.hpp"
#include "tests/soak/soak_caller.hpp"

#include <deque>

namespace tanagerlead::soak
{

struct soak_settings
{
    std::uint64_t seed_ = 1;
    /// Time with faults.
    base::duration length_ = std::chrono::seconds{15};
    int daemons_ = 4;
    int targets_ = 5;
    int callers_ = 24;
    /// Mean time between two faults.
    base::duration fault_interval_ = std::chrono::milliseconds{400};
    /// Rejections a second that the targets stand as long as there are faults;
    /// 0: they become brittle as one of the faults.
    int max_rejections_ = 0;
    std::string program_;
    /// Holds the settings and logs of the daemons.
    std::string folder_;
};

/// One run with one seed: real daemons as processes, stand-ins for the store
/// and the targets, callers, and faults from outside.
class soak_run final : public soak_fleet
{
public:
    explicit soak_run(soak_settings settings);
    ~soak_run() override;

    /// Promises that were broken; empty when all were kept.
    std::vector<std::string> const& play();
    ledger const& recorder() const { return ledger_; }
    /// The faults with their times, for people.
    std::vector<std::string> const& story() const { return story_; }

private:
    /// A part of prompts that crashes the targets which run it.
    struct crashing_part_record
    {
        std::string id_;
        base::time_point until_{};
        std::vector<base::time_point> crashes_;
        /// Requests that reached targets although all daemons must know.
        int late_requests_ = 0;
    };

    struct target_place
    {
        std::unique_ptr<platform_target> target_;
        std::unique_ptr<fakes::relay> relay_;
        bool up_ = true;
        /// State in its registry entry; null if it has removed the entry.
        char const* state_ = "ready";
    };

    /// Returns the affected process; empty if nothing was done.
    using fault = std::string (soak_run::*)();
    struct fault_row
    {
        char const* name_;
        fault act_;
    };
    static fault_row const faults_[];

    std::vector<base::address> directories() const override;
    bool ran_since(base::address const& callers,
                   base::time_point when) const override;
    std::string crashing_part() const override;

    std::string kill_daemon();
    std::string freeze_daemon();
    std::string stop_daemon();
    std::string reload_daemon();
    std::string cut_store();
    std::string silence_store();
    std::string delay_store();
    std::string refuse_at_store();
    std::string forget_at_store();
    std::string crash_target();
    std::string cut_target();
    std::string silence_target();
    std::string delay_target();
    std::string drain_target();
    std::string depart_target();
    std::string limit_target();
    std::string silence_store_connections();
    std::string change_configuration();
    std::string restore_store();
    std::string announce_leaving();
    std::string pause_target();
    std::string make_targets_brittle();
    std::string begin_crashing_part();

    void start();
    void start_daemon(daemon_process& d);
    void next_fault();
    void restore_after(base::duration delay, fakes::relay& faulty);
    void lift_faults();
    void run_for(base::duration length);
    bool run_until(std::function<bool()> const& reached, base::duration most);
    void after(base::duration delay, std::function<void()> act);
    base::duration between(base::duration least, base::duration most);

    void check_daemons();
    void on_daemon_end(daemon_process& d, int status);
    void poll_versions();
    void write_configuration();
    void write_target(target_place& place, char const* state);
    /// Ends a target and starts it again under a new id and address.
    void replace_target(target_place& place);
    /// Removes the registry entries of targets that are not up.
    void remove_lapsed_targets();
    void on_unwanted_request(platform_target const& target,
                             base::time_point since);
    void on_departed_request(platform_target const& target);
    /// A target begins to run a request with these parts of a prompt. Whether
    /// that crashes it.
    bool on_prompt(target_place& place, std::string const& parts);
    void on_fall(target_place& place);
    void set_brittle(int max_rejections);
    void on_too_many_requests(platform_target const& target,
                              base::time_point since);
    /// Whether all daemons run, without a disturbance since `since`.
    bool have_run_since(base::time_point since) const;
    /// The store, or a daemon's path to it, is disturbed until `until`.
    void disturb_store_until(base::time_point until)
    {
        store_disturbed_until_ = std::max(store_disturbed_until_, until);
    }
    void check_recovery();
    void check_versions();
    void stop_all();

    daemon_process& any_daemon();
    target_place& any_target();
    static std::string name_of(daemon_process const& d);
    void note(std::string const& what);

    soak_settings settings_;
    net::asio::io_context loop_{1};
    base::random_source random_;
    ledger ledger_;
    platform_store store_{loop_};
    net::http_client client_{loop_};
    std::deque<target_place> targets_;
    /// Those of crashed targets; orders to them may be pending.
    std::vector<std::unique_ptr<fakes::relay>> stopped_relays_;
    crashing_part_record crashing_part_;
    int crashing_parts_ = 0;
    /// Targets that fell over in the time in which they are brittle, while all
    /// daemons ran undisturbed.
    int falls_ = 0;
    bool are_brittle_ = false;
    std::deque<daemon_process> daemons_;
    std::deque<soak_caller> callers_;
    net::deadline_timer fault_timer_;
    net::deadline_timer check_timer_;
    net::deadline_timer version_timer_;
    std::uint64_t version_ = 0;
    /// Newest configuration document.
    std::string document_;
    base::time_point began_{};
    base::time_point store_disturbed_until_{};
    /// No further faults are injected.
    bool faults_lifted_ = false;
    /// Daemons that end are not started again.
    bool is_closing_ = false;
    std::vector<std::string> story_;
};

} // namespace tanagerlead::soak
