#pragma once

#include "src/base/clock.hpp"
#include "tests/fakes/blocking_server.hpp"
#include "tests/fakes/relay_link.hpp"
#include "tests/fakes/relay_rules.hpp"

#include <list>
#include <mutex>
#include <thread>

namespace tanagerlead::fakes
{

/// Stands before one address, for TCP and UDP on the same port number, and
/// cuts, silences or delays what passes when told by `POST /fake/relay`.
///
/// A TCP connection that was silenced stays so after `restore`, as one does
/// that something between its ends has forgotten.
class relay
{
public:
    relay(base::address listen, base::address far);
    ~relay();

    base::result<void> start();
    /// Closes all connections; later connects are refused.
    void stop();

    base::address address() const { return local_; }
    base::address control_address() const { return control_.local_address(); }

    void apply(relay_order const& order);

private:
    /// What holds for later connections and for datagrams.
    struct standing_rule
    {
        bool refuse_ = false;
        bool drop_forward_ = false;
        bool drop_back_ = false;
        base::duration delay_{};
    };

    base::result<void> bind();
    void add_routes();
    void cut(bool all);
    void silence(relay_order const& order);
    void run();
    /// Waits for a socket, an order or the next delayed bytes.
    void wait();
    void step();
    void accept_connection();
    void receive_datagrams();
    relay_link* link_of(sockaddr_in const& sender);
    void pump_tcp(relay_link& link);
    void pump_udp(relay_link& link);
    void read_tcp(relay_end& from, relay_end& to, relay_link& link);
    static void finish_tcp(relay_link& link);
    void send_datagrams(relay_link& link, base::time_point now) const;
    void wake() const;

    base::steady_clock clock_;
    base::address listen_;
    base::address far_;
    base::address local_;
    blocking_server control_;
    peer::socket tcp_;
    peer::socket udp_;
    peer::socket wake_read_;
    peer::socket wake_write_;

    std::mutex mutex_;
    standing_rule rule_;
    std::list<relay_link> connections_;
    std::list<relay_link> senders_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace tanagerlead::fakes
