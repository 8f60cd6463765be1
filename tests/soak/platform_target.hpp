#pragma once

#include "src/net/http_listener.hpp"
#include "tests/soak/ledger.hpp"

#include <map>

namespace tanagerlead::soak
{

/// The body that a whole answer to a request has.
std::string expected_body(std::string const& id);
/// Events of a stream's whole answer.
int expected_events(std::string const& id);

/// A stand-in for a runner of the platform: tells the ledger what it runs and
/// answers after some milliseconds, streams event by event.
class platform_target
{
public:
    /// `told` outlives it.
    platform_target(net::asio::io_context& loop, ledger& told, int number);

    base::result<void> start();
    base::address address() const { return address_; }
    /// Of this life.
    std::string const& id() const { return id_; }

    /// Ends without a word, what it runs included.
    void crash();
    /// Begins another life.
    void restart();

private:
    using connection_ptr = std::shared_ptr<net::caller_connection>;

    /// One answer under way.
    struct run
    {
        connection_ptr to_;
        std::string id_;
        int next_event_ = 1;
        std::unique_ptr<net::deadline_timer> due_;
    };

    void on_request(connection_ptr const& from, net::http_request const& in);
    void refuse(connection_ptr const& from, int status, std::string const& id);
    void answer_plain(run& r);
    void answer_event(run& r);
    void end(run& r);

    net::asio::io_context& loop_;
    ledger& told_;
    int number_;
    int life_ = 0;
    std::string id_;
    base::address address_{"127.0.0.1", 0};
    net::http_listener listener_;
    std::map<run*, std::shared_ptr<run>> runs_;
};

} // namespace tanagerlead::soak
