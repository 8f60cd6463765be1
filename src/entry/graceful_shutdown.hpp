#pragma once

#include "src/entry/rate_limited_log.hpp"
#include "src/net/http_listener.hpp"

namespace tanagerlead::entry
{

/// A planned stop of the callers' side. At first requests are served while the
/// directory sends callers elsewhere; then new ones are refused. It ends when
/// no call and no connection is left, at the latest with the grace period.
class graceful_shutdown
{
public:
    /// `callers` and `log` outlive it; `calls` counts those under way.
    graceful_shutdown(net::asio::io_context& loop, net::http_listener& callers,
                      rate_limited_log& log,
                      std::function<std::size_t()> call_count);

    /// Once. Calls `done` at the end.
    void begin(base::duration grace_period, std::function<void()> done);
    bool has_begun() const { return begun_; }
    bool rejects_requests() const { return rejects_requests_; }
    /// A call has ended, which may be the last.
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
