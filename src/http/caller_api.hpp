#pragma once

#include "src/base/clock.hpp"
#include "src/base/ids.hpp"
#include "src/config/source.hpp"
#include "src/http/router.hpp"
#include "src/http/target_connection.hpp"
#include "src/request/claim_store.hpp"
#include "src/request/dispatcher.hpp"
#include "src/request/request_table.hpp"

#include <functional>
#include <memory>
#include <string>

namespace tanagerlead::http
{

struct caller_api_settings
{
    /// Own name, left out of the other addresses that a refusal lists.
    base::daemon_id daemon_;
    /// `request_id::origin_` of this life of the daemon.
    std::uint64_t origin_ = 0;
    /// Seed of the jitter in retry advice.
    std::uint64_t seed_ = 0;
    target_limits target_;
    request::memory_limits memory_;
    /// Larger answers are cut off at the target.
    std::size_t most_answer_bytes_ = std::size_t{16} << 20U;
    /// How long `/v1/entries` may be kept.
    base::duration keep_entries_ = std::chrono::seconds{10};
    /// A stream that nobody reads goes on for so long.
    base::duration resume_grace_ = std::chrono::seconds{10};
    /// Grants in vain before a request is given up.
    int most_connect_tries_ = 4;
    /// Calls served at one time; past it the lowest tier is refused. Less than
    /// the server's connections, so that a refusal still finds one.
    int most_open_calls_ = 960;
    /// Keys with the own prefix remembered without the claim store.
    std::size_t most_issued_keys_ = 200'000;
    /// Workspaces with series of their own in `/metrics`.
    std::size_t most_metric_workspaces_ = 256;
};

/// What the caller API works with; all must outlive it.
struct caller_api_services
{
    request::dispatcher& dispatcher_;
    request::entry_directory& entries_;
    config::source& configuration_;
    request::claim_store& claims_;
    base::clock const& clock_;
    /// The server's; runs until after `caller_api::stop`.
    boost::asio::io_context& loop_;
    /// Null: HTTP over TCP.
    target_connection* targets_ = nullptr;
    /// Prometheus text of other parts, added to `/metrics`; may be empty.
    std::function<std::string()> more_metrics_{};
};

/// Serves callers: reads requests, has them scheduled, runs them on targets
/// and delivers the answers. The routes run on the server's loop; the rest may
/// be called by any other thread.
class caller_api
{
public:
    caller_api(caller_api_settings settings,
               caller_api_services const& services);
    /// `stop` must have been called, and the server must have stopped.
    ~caller_api();

    /// Before the server starts.
    void add_routes(router& to);

    /// From now on new work is refused as `draining`. What is in flight goes
    /// on.
    void begin_drain();
    /// True when nothing is waiting, running or being delivered.
    bool wait_until_idle(base::duration longest);
    /// Refuses what waits and cuts what still runs.
    void stop();

    /// Prometheus text of the requests alone.
    std::string metrics_text() const;
    /// Requests waiting or running.
    std::size_t in_flight() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace tanagerlead::http
