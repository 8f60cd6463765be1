#pragma once

#include "src/entry/call.hpp"
#include "src/entry/channel_pool.hpp"
#include "src/entry/daemon_directory.hpp"
#include "src/entry/peer_exchange.hpp"
#include "src/entry/planned_stop.hpp"
#include "src/entry/traffic_metrics.hpp"
#include "src/net/http_listener.hpp"
#include "src/routing/crash_watch.hpp"
#include "src/routing/quota_ledger.hpp"
#include "src/routing/retry_budget.hpp"

#include <set>

namespace tanagerlead::entry
{

/// The callers' and targets' side of one daemon. All on one loop.
class traffic final : public call_owner, public report_owner
{
public:
    /// Called when another daemon has a newer configuration.
    using newer_configuration = std::function<void(std::string const& ip)>;

    traffic(net::asio::io_context& loop, settings const& s,
            protocol const& speech, newer_configuration newer);

    base::result<void> start();
    /// Where callers and health checks connect.
    base::address callers_address() const { return callers_.local_address(); }
    base::address health_address() const { return health_.local_address(); }
    base::address directory_address() const
    {
        return directory_.local_address();
    }
    void on_configuration(routing::configuration_ptr configuration);
    void on_targets(std::vector<routing::target_info> const& targets);
    void on_daemons(std::vector<std::string> const& ips);

    /// Planned stop: sends callers elsewhere, finishes what is under way and
    /// calls `done`, at the latest after the grace period.
    void leave(std::function<void()> done);

    void submit(routing::call_item item) override;
    routing::target_info const*
    find_place(routing::call_item const& item) override;
    void place(routing::call_item const& item,
               base::target_id const& target) override;
    void withdraw(call& waiting) override;
    void on_attempt_end(call& running, routing::call_end end) override;
    void on_pace(base::target_id const& target, base::duration took,
                 double units) override;
    void on_broken(call& running, base::target_id const& target) override;
    routing::pool_latency& latency(base::pool_id const& pool) override;
    bool take_retry(base::pool_id const& pool) override;
    base::duration retry_after(call const& refused) override;
    void open_channel(
        routing::target_info const& target, base::duration most_idle,
        std::function<void(std::shared_ptr<net::channel>, net::error_code)>
            done) override;
    void keep_channel(base::target_id const& target,
                      std::shared_ptr<net::channel> const& used) override;
    void on_over(call& over, call_outcome outcome,
                 std::string const& cause) override;
    protocol const& speech() const override { return protocol_; }
    event_log& log() override { return log_; }
    net::asio::io_context& loop() override { return loop_; }

    void fill(routing::peer_report& report, audience to) override;
    void on_news(routing::peer_ip from, routing::peer_report const& report,
                 routing::peer_board::news const& news) override;

private:
    using connection_ptr = std::shared_ptr<net::caller_connection>;

    void on_request(connection_ptr const& from, net::http_request request);
    void begin_call(connection_ptr const& from, net::http_request request,
                    call_marks marks);
    bool admit(connection_ptr const& from, call::subject& about);
    void turn_away(connection_ptr const& from, int status, char const* cause,
                   std::string const& request_id,
                   std::optional<base::duration> retry_after);
    void on_health_request(connection_ptr const& from,
                           net::http_request const& request);
    void on_metrics_request(connection_ptr const& from);

    void wake();
    void advance();
    void apply(sched::action const& action);
    void on_target_lost(base::target_id const& target);
    bool is_ready() const;
    routing::daemon_state own_state() const;
    void refresh_heard();

    net::asio::io_context& loop_;
    settings settings_;
    protocol const& protocol_;
    newer_configuration newer_;
    event_log log_{"entry"};
    base::random_source random_;
    std::uint64_t life_;
    std::uint64_t next_call_ = 1;

    peer_exchange peers_;
    routing::dispatcher dispatcher_;
    routing::retry_budget budget_;
    routing::quota_ledger quotas_;
    routing::crash_watch crashes_;
    std::map<base::pool_id, routing::pool_latency> latencies_;
    channel_pool channels_;
    daemon_directory known_daemons_;
    traffic_metrics metrics_;

    net::http_listener callers_;
    net::http_listener health_;
    net::http_listener directory_;
    net::http_listener metrics_listener_;

    routing::configuration_ptr configuration_;
    base::time_point configured_at_{};
    std::map<routing::id_digest, base::workspace_id> workspaces_;
    std::map<base::request_id, std::shared_ptr<call>> calls_;
    std::array<base::time_point, 2> spent_told_{};
    /// Targets that are being connected to, to see whether they live.
    std::set<base::target_id> probing_;

    net::alarm advance_alarm_;
    planned_stop stop_;
    bool advancing_ = false;
    bool wake_posted_ = false;
};

} // namespace tanagerlead::entry
