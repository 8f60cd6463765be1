#pragma once

#include "src/cell/coordinator.hpp"
#include "src/config/source.hpp"
#include "src/external/host_list.hpp"
#include "src/kernel/control_thread.hpp"
#include "src/peer/messenger.hpp"
#include "src/request/dispatcher.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace tanagerlead::cell
{

struct scheduling_settings
{
    /// Makes a scheduler by the chosen policy; never null.
    scheduler_factory make_scheduler_;
    /// Reads a target's own load report. Blocking; called on a thread of the
    /// service. None: loads are not watched.
    std::function<base::result<sched::target_load>(
        config::target_config const&)>
        read_load_;
    /// Reads the platform's host list, for targets that are leaving.
    /// Blocking; on another thread. None: there is no such list.
    std::function<base::result<std::vector<external::listed_host>>()>
        read_hosts_;
    /// Whether the configuration store could be reached lately. Any thread.
    /// None: it counts as reachable.
    std::function<bool()> store_reachable_;
    base::duration load_interval_ = std::chrono::milliseconds{500};
    base::duration hosts_interval_ = std::chrono::seconds{1};
};

/// What operators see of the scheduling at one daemon.
struct scheduling_status
{
    bool accepts_work_ = false;
    bool isolated_ = false;
    std::vector<cell_status> cells_;
};

/// Runs the coordinator on the control thread and connects it with the
/// request path, the other daemons, the configuration and the targets.
/// The parts it is given must start before it and stop after it; the object
/// must outlive the control thread's last task, as it does in a kernel.
class scheduling_service final : public kernel::service,
                                 public request::dispatcher,
                                 public request::entry_directory
{
public:
    static constexpr char const* service_name = "scheduling";

    scheduling_service(scheduling_settings settings,
                       kernel::control_thread& control, config::source& config,
                       membership::directory& members,
                       peer::messenger& messenger);
    ~scheduling_service() override;

    base::result<void> start(kernel::kernel& services) override;
    void stop() override;

    /// New work is refused from now on. Any thread.
    void leave();

    void submit(sched::work_item item,
                std::function<void(request::decision const&)> decided) override;
    void
    resubmit(sched::work_item item,
             std::function<void(request::decision const&)> decided) override;
    void withdraw(base::request_id request) override;
    void report(sched::dispatch_report event) override;

    std::vector<request::entry_address>
    entries_for(base::workspace_id const& workspace,
                std::vector<base::pool_id> const& pools) const override;
    base::address address_of(std::uint64_t origin) const override;
    bool accepts_work() const override;

    /// Any thread but the control thread.
    scheduling_status status();
    /// Empty when the request is not, or no longer, known here. Any thread
    /// but the control thread.
    std::optional<request_trace> explain(base::request_id request);

private:
    using decided_function = std::function<void(request::decision const&)>;

    void connect();
    /// Runs `work` on the control thread and then the coordinator.
    void post(std::function<void()> work);
    /// False, and refused, when the service has stopped.
    bool note_waiting(base::request_id request, decided_function decided);
    void refuse_waiting();
    void receive(daemon_life const& from, std::string const& payload);
    void on_members(membership::view const& view);
    void on_config(config::snapshot const& snapshot);

    /// Asks for one run of the coordinator after what is already posted.
    void schedule_advance();
    void advance();
    void deliver(decided_request const& decided);
    void arm_timer();
    void publish();

    void watch_hosts(bool watch);
    void watch_list();
    void watch_loads();
    void observe_store();
    void observe_loads();
    void observe_hosts();
    void apply_hosts(std::vector<external::listed_host> const& hosts);

    scheduling_settings settings_;
    kernel::control_thread& control_;
    config::source& config_;
    membership::directory& members_;
    peer::messenger& messenger_;

    /// Owned by the control thread from here.
    std::unique_ptr<coordinator> coordinator_;
    std::map<base::request_id, decided_function> waiting_;
    base::time_point timer_at_ = base::time_point::max();
    bool advance_posted_ = false;
    bool stopped_ = false;

    /// What any thread may read.
    struct published;
    mutable std::mutex published_mutex_;
    std::shared_ptr<published const> published_;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> isolated_{false};

    std::mutex observer_mutex_;
    std::condition_variable observer_wake_;
    bool observer_stopping_ = false;
    bool watches_hosts_ = false;
    bool hosts_are_due_ = false;
    std::vector<config::target_config> observed_targets_;
    std::thread list_observer_;
    std::thread load_observer_;
};

} // namespace tanagerlead::cell
