#pragma once

#include "src/entry/event_log.hpp"
#include "src/entry/metadata_store.hpp"
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
    using published = std::function<void(std::vector<std::string>)>;

    daemon_registration(net::asio::io_context& loop, metadata_store& store,
                        std::string name, std::string ip, published publish);

    void start();
    /// Takes the entry back; `done` is called at once or soon.
    void leave(std::function<void()> done);

private:
    void on_alarm();
    void register_again();
    void renew();
    void read();
    void log_failure(char const* sentence, base::error const& why);

    metadata_store& store_;
    std::string name_;
    std::string ip_;
    published publish_;
    event_log log_{"daemons"};
    net::alarm alarm_;
    std::optional<store_lease> lease_;
    bool leaving_ = false;
};

} // namespace tanagerlead::entry
