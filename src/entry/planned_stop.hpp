#pragma once

#include "src/entry/event_log.hpp"
#include "src/net/http_listener.hpp"

namespace tanagerlead::entry
{

/// A planned stop of the callers' side. At first requests are served while the
/// directory sends callers elsewhere; then new ones are refused. It ends when
/// no call and no connection is left, at the latest with the grace period.
class planned_stop
{
public:
    /// `callers` and `log` outlive it; `calls` counts those under way.
    planned_stop(net::asio::io_context& loop, net::http_listener& callers,
                 event_log& log, std::function<std::size_t()> calls);

    /// Once. Calls `done` at the end.
    void begin(base::duration grace, std::function<void()> done);
    bool has_begun() const { return begun_; }
    bool refuses() const { return refuses_; }
    /// A call has ended, which may be the last.
    void on_call_end();

private:
    void check();
    void end();

    net::http_listener& callers_;
    event_log& log_;
    std::function<std::size_t()> calls_;
    net::alarm alarm_;
    bool begun_ = false;
    bool refuses_ = false;
    std::function<void()> done_;
    base::time_point refuses_from_{};
    base::time_point ends_{};
};

} // namespace tanagerlead::entry
