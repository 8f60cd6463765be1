#pragma once

#include "src/peer/link.hpp"
#include "src/peer/socket.hpp"

#include <atomic>
#include <thread>

namespace tanagerlead::peer
{

/// Datagrams over UDP, received on a thread of its own.
class udp_link final : public datagram_link
{
public:
    /// Takes a bound SOCK_DGRAM socket.
    explicit udp_link(socket bound);
    ~udp_link() override;

    void send(base::address const& to, std::string bytes) override;
    void on_receive(
        std::function<void(base::address const& from, std::string const& bytes)>
            arrived) override;
    base::address local_address() const override { return local_; }

    /// After `on_receive`.
    void start();
    void stop();

    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_received() const { return bytes_received_; }
    /// Datagrams that the system refused to send.
    std::uint64_t send_failures() const { return send_failures_; }

private:
    void receive_loop();

    socket socket_;
    base::address local_;
    std::function<void(base::address const&, std::string const&)> arrived_;
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::atomic<std::uint64_t> send_failures_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace tanagerlead::peer
