#pragma once

#include "src/config/config_service.hpp"
#include "src/kernel/service.hpp"
#include "src/membership/view.hpp"
#include "src/peer/membership_service.hpp"
#include "src/peer/tcp_link.hpp"

#include <set>
#include <string>

namespace tanagerlead::daemon_parts
{

/// Lets daemons copy the configuration from each other: connects the
/// configuration service with membership and with the TCP link.
class peer_copies final : public kernel::service
{
public:
    static constexpr char const* service_name = "peer_copies";

    /// `tcp` is a bound SOCK_STREAM socket.
    peer_copies(peer::socket tcp, std::string secret,
                membership::member const& self);

    /// Sends a copy request to a peer. Any thread; blocking.
    base::result<std::string> fetch(base::address const& from,
                                    std::string const& request);

    base::result<void> start(kernel::kernel& services) override;
    void stop() override { link_.stop(); }

private:
    std::string answer(std::string const& sealed);
    void on_members(membership::view const& view);
    void repeat();
    std::string seal(std::string const& payload) const;
    base::result<std::string> open(std::string const& sealed,
                                   std::string const& peer) const;

    peer::tcp_link link_;
    std::string secret_;
    base::daemon_id own_id_;
    std::uint64_t own_origin_;
    base::data_centre_id data_centre_;
    config::config_service* config_ = nullptr;
    peer::membership_service* members_ = nullptr;
    kernel::control_thread* control_ = nullptr;
    /// Control thread only.
    std::set<base::daemon_id> known_;
};

} // namespace tanagerlead::daemon_parts
