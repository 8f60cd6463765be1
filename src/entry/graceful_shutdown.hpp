#pragma once

#include "src/entry/rate_limited_log.hpp"
#include "src/net/http_listener.hpp"

namespace tanagerlead::entry
{

/// Shuts down the caller side gracefully. At first requests are still served
/// while the directory sends callers to other daemons; then new requests are
/// rejected. It ends when no calls or connections are left, and at the latest
/// before the grace period ends.
class graceful_shutdown
{
public:
    /// `callers` and `log` must outlive the object. `call_count` returns the
    /// number of running calls.
    graceful_shutdown(net::asio::io_context& loop, net::http_listener& callers,
                      rate_limited_log& log,
                      std::function<std::size_t()> call_count);

    /// Starts the shutdown; may be called once. Calls `done` at its end.
    void begin(base::duration grace_period, std::function<void()> done);
    bool has_begun() const { return begun_; }
    bool rejects_requests() const { return rejects_requests_; }
    /// Checks for the end of the shutdown after a call has finished.
    void check_soon();

private:
    void check();
    void end();

    net::http_listener& callers_;
    rate_limited_log& log_;
    std::function<std::size_t()> call_count_;
    net::deadline_timer timer_;
    bool begun_ = false;
    bool rejects_requests_ = false;
    std::function<void()> done_;
    base::time_point reject_from_{};
    base::time_point end_by_{};
};

} // namespace tanagerlead::entry
