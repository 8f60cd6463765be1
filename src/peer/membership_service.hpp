#pragma once

#include "src/kernel/control_thread.hpp"
#include "src/kernel/service.hpp"
#include "src/membership/swim.hpp"
#include "src/membership/view.hpp"
#include "src/peer/envelope.hpp"
#include "src/peer/messenger.hpp"
#include "src/peer/udp_link.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace tanagerlead::peer
{

/// Datagrams refused, by cause.
struct refused_datagrams
{
    std::uint64_t forged_ = 0;
    std::uint64_t malformed_ = 0;
};

/// Runs the membership protocol on the control thread and carries other
/// messages between members.
class membership_service final : public kernel::service,
                                 public membership::directory,
                                 public messenger
{
public:
    static constexpr char const* service_name = "membership";

    /// `udp` is a bound SOCK_DGRAM socket.
    membership_service(membership::member self,
                       membership::swim_settings settings, socket udp,
                       std::string secret, std::vector<base::address> seeds);

    base::result<void> start(kernel::kernel& services) override;
    void stop() override;

    membership::view current() const override;
    membership::member self() const override;
    void
    subscribe(std::function<void(membership::view const&)> listener) override;

    void send(base::daemon_id const& to, message_kind kind,
              std::string payload) override;
    void on_message(
        message_kind kind,
        std::function<void(base::daemon_id const& from, std::uint64_t origin,
                           std::string const& payload)>
            arrived) override;

    /// Any thread.
    void leave();
    void announce_config_version(base::config_version version);
    void survey();
    /// Adds to the seeds of the settings.
    void hint_peers(std::vector<base::address> peers);

    refused_datagrams refused() const;
    std::uint64_t bytes_sent() const { return link_.bytes_sent(); }
    std::uint64_t bytes_received() const { return link_.bytes_received(); }

private:
    using receiver = std::function<void(base::daemon_id const&, std::uint64_t,
                                        std::string const&)>;

    void receive(base::address const& from, std::string const& bytes);
    void handle(base::address const& from, envelope const& message);
    void handle_membership(base::address const& from, envelope const& message);
    void tick();
    void flush();
    void publish();

    std::string secret_;
    std::vector<base::address> seeds_;
    udp_link link_;
    base::daemon_id own_id_;
    std::uint64_t own_origin_;
    /// Control thread only, from here on.
    membership::swim swim_;
    std::map<message_kind, receiver> receivers_;
    std::vector<std::function<void(membership::view const&)>> listeners_;
    kernel::control_thread* control_ = nullptr;
    /// Shared with other threads.
    mutable std::mutex mutex_;
    membership::view view_;
    membership::member self_;
    std::atomic<std::uint64_t> forged_{0};
    std::atomic<std::uint64_t> malformed_{0};
};

} // namespace tanagerlead::peer
