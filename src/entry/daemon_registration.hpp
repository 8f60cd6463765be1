#pragma once

#include "src/entry/metadata_store.hpp"
#include "src/entry/rate_limited_log.hpp"
#include "src/net/event_loop.hpp"

#include <optional>

namespace tanagerlead::entry
{

/// Keeps this daemon's address in the store under a lease and reads those of
/// the others. Only for finding each other: nothing else depends on it.
class daemon_registration
{
public:
    /// Addresses of all registered daemons.
    using publish_callback = std::function<void(std::vector<std::string>)>;

    daemon_registration(net::asio::io_context& loop, metadata_store& store,
                        std::string name, std::string ip,
                        publish_callback publish);

    void start();
    /// Takes the entry back; `done` is called at once or soon.
    void shut_down(std::function<void()> done);

private:
    void on_timer();
    void register_daemon();
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
};

} // namespace tanagerlead::entry
