#pragma once

#include "src/config/config_state.hpp"
#include "src/config/config_store.hpp"
#include "src/config/source.hpp"
#include "src/config/task_thread.hpp"
#include "src/kernel/control_thread.hpp"
#include "src/kernel/service.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace tanagerlead::config
{

/// Keeps the configuration in force up to date, from the key-value service
/// and from peers, and publishes each later version. Finds the service
/// "control".
class config_service final : public kernel::service, public source
{
public:
    static constexpr char const* service_name = "config";

    /// Sends a copy request to a peer and returns its answer. Blocking; called
    /// from a thread of the service's own.
    using peer_fetch = std::function<base::result<std::string>(
        base::address const& peer, std::string const& request)>;

    /// `store` must outlive the service.
    config_service(base::daemon_id self, external::key_value_store& store,
                   std::uint64_t seed);

    /// Before start; without it only the key-value service is asked.
    void set_peer_fetch(peer_fetch fetch)
    {
        fetch_from_peer_ = std::move(fetch);
    }

    base::result<void> start(kernel::kernel& services) override;
    void stop() override;

    snapshot current() const override;
    void subscribe(std::function<void(snapshot const&)> listener) override;

    /// The events below: any thread, after start.
    /// Told with each heartbeat, so that contact with peers is known too.
    /// `address` is where `peer_fetch` reaches the peer.
    void on_peer_version(base::daemon_id const& peer,
                         base::address const& address,
                         base::config_version version);
    void on_peer_gone(base::daemon_id const& peer);
    /// Live daemons of the own data centre.
    void on_members(std::vector<base::daemon_id> same_data_centre);
    /// A patch was accepted here: puts it in force before the call returns, so
    /// that the others can copy it even when the service goes down right after
    /// the write. Not from the control thread.
    void on_accepted(submit_answer const& accepted);

    /// Answers a peer's copy request. Any thread. Errors: `corrupt`,
    /// `not_found` without a configuration.
    base::result<std::string> answer_peer(std::string const& request) const;
    /// To be told by gossip; what is in force here. Any thread.
    base::config_version in_force() const;
    /// False without a configuration and when isolated (`isolation_limit`).
    /// Any thread.
    bool may_take_work() const { return may_take_work_; }

    /// For the operators' calls. Any thread.
    config_store& store() { return versions_; }

private:
    using stored = std::shared_ptr<stored_configuration const>;

    void step();
    void wake_at(base::time_point when);
    void order_watch(bool hold);
    void order_poll();
    void order_fetch(fetch_order const& order);
    void take_watched(external::key_value_entry const& entry);
    void take_version(base::config_version version);
    void take_fetched(base::result<stored_configuration> fetched);
    void publish(stored_configuration version);
    stored latest() const;

    external::key_value_store& store_;
    config_store versions_;
    peer_fetch fetch_from_peer_;
    base::daemon_id self_;
    std::uint64_t seed_;
    kernel::control_thread* control_ = nullptr;

    /// Owned by the control thread from here.
    std::unique_ptr<config_state> state_;
    bool watching_ = false;
    base::time_point wakes_at_{};
    std::vector<std::function<void(snapshot const&)>> listeners_;

    std::atomic<bool> may_take_work_{false};
    mutable std::mutex mutex_;
    stored latest_;

    /// Owned by `store_thread_`.
    std::unique_ptr<external::key_value_watch> watch_;
    task_thread store_thread_;
    task_thread peer_thread_;
};

} // namespace tanagerlead::config
