#pragma once

#include "record.hpp"

#include <functional>

namespace tanagerlead::review
{

/// A route of the configuration.
struct route
{
    std::string name_;
    std::string prefix_;
    std::string kind_;
    std::string service_;
    int timeout_ms_ = 15000;
    int objective_ms_ = 1200;
    int max_attempts_ = 2;
    bool resumable_ = false;
};

constexpr char const* host = "shop.example";
constexpr char const* key = "i9n73hh2b9wu3fexd9dn";

/// The operator's document with these routes and one tenant without a limit.
std::string configuration(int version, std::vector<route> const& routes);

std::string new_request_id();

/// Asks up to three daemons for the addresses of front daemons.
std::vector<address> resolve(std::vector<address> const& directories,
                             std::string const& zone);

/// One of the addresses at random.
address pick(std::vector<address> const& from);

/// A request of the tenant with a new id.
request make_request(std::string const& method, std::string const& target,
                     milliseconds time_left);

/// What one attempt of a requester yielded.
struct attempt_result
{
    /// 0 if there was no answer.
    int status_ = 0;
    bool is_complete_ = false;
    std::string body_;
    /// Seconds to wait before the next attempt; 0: not told.
    double retry_after_ = 0;
    /// The last event of a stream.
    int last_event_ = 0;
    int events_ = 0;
    /// Events missing, repeated or out of order.
    bool is_disordered_ = false;
};

/// Sends one attempt on a new connection. `after` is the last event that the
/// requester has; `on_event` is called after each further one.
attempt_result attempt(
    address const& to, request const& asked, int after, milliseconds silence,
    record& log, std::function<void()> const& on_event = [] {});

} // namespace tanagerlead::review
