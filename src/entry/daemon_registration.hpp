#pragma once

#include "src/base/random.hpp"
#include "src/entry/callback_guard.hpp"
#include "src/entry/metadata_store.hpp"
#include "src/entry/rate_limited_log.hpp"
#include "src/net/event_loop.hpp"

#include <optional>

namespace tanagerlead::entry
{

/// Registers this daemon's address in the store under a lease and reads the
/// addresses of all daemons. Used for discovery only; nothing else depends on
/// the lease.
class daemon_registration
{
public:
    /// Receives the IP addresses of all registered daemons.
    using publish_callback = std::function<void(std::vector<std::string>)>;

    daemon_registration(net::asio::io_context& loop, metadata_store& store,
                        std::string name, std::string ip,
                        publish_callback publish);

    void start();
    /// Registers again, since the store was restored from an older copy. The
    /// entry may be gone, and the id of the lease may belong to another daemon.
    void on_new_era();
    /// Removes the entry. The lease expires by itself: ending it by its id
    /// could remove the entry of another daemon after the store was restored.
    /// `done` may run before the call returns and is called even if the store
    /// fails.
    void shut_down(std::function<void()> done);

private:
    void on_timer();
    void register_daemon();
    void write_entry(store_lease lease);
    void renew();
    void read_daemons();
    void log_failure(char const* message, base::error const& why);

    metadata_store& store_;
    std::string name_;
    std::string ip_;
    publish_callback publish_;
    rate_limited_log log_{"daemons"};
    net::deadline_timer timer_;
    std::optional<store_lease> lease_;
    bool is_shutting_down_ = false;
    /// A lease that was requested in an earlier era is not used.
    callback_guard calls_;
    base::random_source random_{base::entropy()};
};

} // namespace tanagerlead::entry
