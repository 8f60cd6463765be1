#pragma once

#include "src/net/http_listener.hpp"
#include "tests/soak/ledger.hpp"

#include <deque>
#include <map>

namespace tanagerlead::soak
{

/// Requests that a target runs at once, by its registry entry.
constexpr int target_slots = 3;

/// Body of a complete answer to the request `id`.
std::string expected_body(std::string const& id);
/// Number of events in a complete stream for the request `id`.
int expected_events(std::string const& id);

/// A stand-in for a target of the platform. Records in the ledger what it runs,
/// answers after some milliseconds and sends streams event by event.
class platform_target
{
public:
    /// `recorder` must outlive the target.
    platform_target(net::asio::io_context& loop, ledger& recorder, int number);

    base::result<void> start();
    base::address address() const { return address_; }
    /// Changes with each start.
    std::string const& id() const { return id_; }
    /// Of its software; changes with each start.
    std::string version() const
    {
        return std::to_string((number_ + incarnation_) % 2);
    }

    /// Ends at once, with all requests that it runs.
    void crash();
    /// Starts again under a new id.
    void restart();

    /// Announces its shutdown in all answers until it starts again.
    void announce_leaving();
    /// Its registry entry says from now on that it leaves, or is gone.
    void depart() { departed_at_ = net::now(); }
    bool has_departed() const { return departed_at_.has_value(); }
    /// Turns requests away for `pause` and asks each daemon to wait for that
    /// long.
    void turn_away(base::duration pause);
    /// Names a limit in all answers, or none any more.
    void set_limit(double per_second);
    bool has_limit() const { return limit_ > 0; }
    /// Says in all answers that it stands so many rejections a second, or says
    /// so no more (0). From some seconds later on fewer requests may wait, and
    /// it falls over beyond that number. The start of the time is passed on to
    /// later incarnations.
    void set_brittle(int max_rejections);
    /// Called when it falls over; the owner ends it soon after.
    std::function<void()> on_fall_;
    /// Called when more requests arrive than the limit allows, with the time
    /// since when all daemons must have heard it.
    std::function<void(base::time_point)> on_too_many_;
    /// Called when a request arrives although all daemons must have heard that
    /// the target wants none, with the time since when they must have heard it.
    std::function<void(base::time_point)> on_unwanted_;
    /// Called with the prompt parts of each request that it begins to run.
    /// Whether that crashes it; the owner ends it soon after.
    std::function<bool(std::string const& parts)> does_crash_;
    /// Called when a request arrives later than the bound after `depart`.
    std::function<void()> on_departed_request_;

private:
    using connection_ptr = std::shared_ptr<net::caller_connection>;

    /// A request that runs.
    struct run
    {
        connection_ptr to_;
        std::string id_;
        /// The attempt that began the stream; its events are made from that.
        std::string first_id_;
        int next_event_ = 1;
        std::unique_ptr<net::deadline_timer> due_;
    };

    void on_request(connection_ptr const& from, net::http_request const& in);
    void refuse(connection_ptr const& from, int status, std::string const& id);
    net::http_response head_for(std::string const& id) const;
    /// Checks whether daemons honour what the target announced.
    void check_wanted();
    void check_limit();
    /// Requests that it takes at once.
    std::size_t room() const;
    bool is_stably_brittle() const;
    /// Counts a request that is turned away for want of room.
    void check_rejections();
    void add_statements(net::http_response& head) const;
    void answer_plain(run& r);
    void answer_event(run& r);
    void end(run& r);

    net::asio::io_context& loop_;
    ledger& ledger_;
    int number_;
    int incarnation_ = 0;
    /// When the first answer since the start announced the shutdown.
    std::optional<base::time_point> announced_at_;
    std::optional<base::time_point> departed_at_;
    bool is_leaving_ = false;
    base::time_point turned_away_at_{};
    base::time_point paused_until_{};
    int arrivals_in_pause_ = 0;
    /// Requests a second; 0: none.
    double limit_ = 0;
    base::time_point limited_at_{};
    std::deque<base::time_point> arrivals_;
    /// Rejections a second; 0: it is not brittle.
    int max_rejections_ = 0;
    base::time_point brittle_since_{};
    std::deque<base::time_point> rejections_;
    bool is_falling_ = false;
    std::string id_;
    base::address address_{"127.0.0.1", 0};
    net::http_listener listener_;
    std::map<run*, std::shared_ptr<run>> runs_;
};

} // namespace tanagerlead::soak
