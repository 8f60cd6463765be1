#pragma once

#include "src/entry/call.hpp"
#include "src/entry/crash_monitor.hpp"
#include "src/entry/daemon_directory.hpp"
#include "src/entry/graceful_shutdown.hpp"
#include "src/entry/outage_monitor.hpp"
#include "src/entry/peer_exchange.hpp"
#include "src/entry/request_metrics.hpp"
#include "src/entry/stream_origin_exchange.hpp"
#include "src/entry/target_links.hpp"
#include "src/net/http_listener.hpp"
#include "src/routing/entry_readings.hpp"
#include "src/routing/quota_limiter.hpp"
#include "src/routing/retry_budget.hpp"
#include "src/routing/target_versions.hpp"
#include "src/routing/usage_schedule.hpp"

#include <set>

namespace tanagerlead::entry
{

/// Accepts requests from callers, forwards them to targets, and exchanges
/// reports with other daemons. Everything runs on one loop.
class data_plane final : public call_delegate, public peer_report_delegate
{
public:
    /// Called with the IP address of a daemon that has a newer configuration.
    using newer_configuration_callback =
        std::function<void(std::string const& ip)>;

    /// Receivers of what other daemons report about the store; called on the
    /// data plane's loop.
    struct store_news_callbacks
    {
        std::function<void(routing::registry_change)> registry_change_;
        std::function<void(routing::follower_position)> position_;
    };

    data_plane(net::asio::io_context& loop, settings const& s,
               protocol const& wire,
               newer_configuration_callback on_newer_configuration);

    void set_store_news_callbacks(store_news_callbacks callbacks)
    {
        store_news_ = std::move(callbacks);
    }

    void set_origin_archive(stream_origin_exchange::archive_callbacks callbacks)
    {
        origins_.set_archive_callbacks(std::move(callbacks));
    }
    /// Origins of streams were read from the store.
    void on_archived_origins(routing::stream_message const& message)
    {
        origins_.on_archived(message);
    }

    void on_origins_written(routing::origin_archive::batch_number written,
                            bool is_kept)
    {
        origins_.on_written(written, is_kept);
    }

    void on_starts_kept(routing::stream_starts::revision written)
    {
        origins_.on_starts_kept(written);
    }
    /// What became of the streams that callers took up here.
    stream_origin_exchange::origin_counts const& origin_counts() const
    {
        return origins_.counts();
    }
    void on_starts_unusable(base::time_point asked)
    {
        origins_.on_starts_unusable(asked);
    }
    void on_starts_read(kept_stream_starts const& found)
    {
        origins_.on_starts_read(found);
    }

    /// Reads the registry entry of a target; `on_entry_read` follows unless
    /// the store does not answer.
    void
    set_entry_reader(std::function<void(base::target_id const& target)> read)
    {
        read_entry_ = std::move(read);
    }
    void on_entry_read(base::target_id const& target,
                       std::optional<routing::target_info> const& entry,
                       base::time_point asked);

    base::result<void> start();
    /// Local addresses of the listeners.
    base::address callers_address() const { return callers_.local_address(); }
    base::address health_address() const { return health_.local_address(); }
    base::address directory_address() const
    {
        return directory_.local_address();
    }
    void on_configuration(routing::configuration_ptr configuration);
    void on_targets(std::vector<routing::target_info> const& targets);
    /// Since `at`, the targets are known to be those of the registry, or are
    /// not. Until the first call they are not.
    void on_registry_state(bool is_current, base::time_point at);
    /// All changes of the registry until `at` are in the targets.
    void on_registry_confirmed(base::time_point at);
    void on_daemons(std::vector<std::string> const& ips);
    /// This daemon has read a change of the registry.
    void on_registry_change(routing::registry_change change);
    /// The store was restored from an older copy; counted for operators.
    void on_store_restored() { ++store_restorations_; }

    /// Shuts down gracefully: sends callers to other daemons, finishes running
    /// calls and calls `done`, at the latest after the grace period.
    void shut_down(std::function<void()> done);

    void submit(routing::pending_call item) override;
    routing::target_info const*
    find_free_slot(routing::pending_call const& item) override;
    void assign(routing::pending_call const& item,
                base::target_id const& target) override;
    void withdraw(call& waiting) override;
    void on_admitted(call const& running) override;
    void on_attempt_end(call& running, routing::attempt_outcome end) override;
    void on_service_time(base::target_id const& target, base::duration took,
                         double units) override;
    void on_announcement(routing::target_info const& target,
                         answer_metadata const& metadata) override;
    void on_limit(routing::target_info const& target,
                  std::optional<routing::request_rate> limit,
                  base::time_point sent) override;
    void on_brittle(routing::target_info const& target,
                    std::optional<routing::request_rate> max_rejections,
                    base::time_point sent) override;
    void on_proof(call const& running) override { crashes_.on_proof(running); }
    bool is_quarantined(call const& waiting) const override
    {
        return crashes_.is_blocked(waiting.context(), net::now());
    }
    send_permission ask_to_send(call const& waiting) override
    {
        return crashes_.ask_to_send(waiting.context(), net::now());
    }
    void on_broken(call& running, base::target_id const& target) override
    {
        crashes_.on_broken(running, target);
    }
    void find_origin(call& resumed) override;
    routing::begin_permission may_begin_stream(call const& ready) override;
    void on_stream_begun(call const& running,
                         base::time_point connected_at) override
    {
        origins_.on_begun({running.context().metadata_.request_id_,
                           start_of(running), running.target_record(),
                           connected_at});
    }
    void on_stream_resumed(call const& running,
                           routing::version_digest version) override
    {
        origins_.on_resumed(running.context().metadata_.resumed_attempt_,
                            running.context().pool_, version);
    }
    base::pool_id const* pool_of(routing::version_digest version) override
    {
        return dispatcher_.pool_of(version);
    }
    routing::version_finding version_of(routing::target_info const& target,
                                        base::time_point connected_at) override;
    routing::pool_latency& latency(base::pool_id const& pool) override;
    bool take_retry(base::pool_id const& pool) override;
    bool may_move_streams() const override;
    base::duration retry_after(call const& refused) override;
    std::optional<routing::target_info>
    find_relay(base::pool_id const& pool,
               std::vector<base::target_id> const& tried) override
    {
        return links_.find_relay(pool, tried);
    }
    std::optional<routing::target_info>
    find_substitute(call const& waiting) override;
    void acquire_channel(
        routing::target_info const& target, base::duration max_idle,
        std::function<void(std::shared_ptr<net::channel>, net::error_code)>
            done) override;
    void release_channel(base::target_id const& target,
                         std::shared_ptr<net::channel> const& channel) override;
    void on_call_finished(call& finished, call_outcome outcome,
                          std::string const& cause) override;
    byte_budget& answer_budget() override { return answer_budget_; }
    protocol const& get_protocol() const override { return protocol_; }
    rate_limited_log& log() override { return log_; }
    net::asio::io_context& loop() override { return loop_; }

    void fill_report(routing::peer_report& report, report_group to,
                     base::duration usage_time) override;
    void
    on_peer_report(routing::peer_ip from, routing::peer_report const& report,
                   routing::peer_table::report_delta const& delta) override;
    void on_stream_message(routing::peer_ip from,
                           routing::stream_message const& message) override
    {
        origins_.on_message(from, message);
    }
    void on_heartbeat() override;
    bool has_calls() const override { return !calls_.empty(); }
    void on_role_changed(routing::daemon_role role) override;

private:
    using connection_ptr = std::shared_ptr<net::caller_connection>;

    static routing::stream_start start_of(call const& c);

    /// What another daemon has decided about a request that it passes on.
    struct relay_terms
    {
        base::pool_id pool_;
        /// How many targets the request may be sent to.
        int attempts_ = 1;
    };

    void on_request(connection_ptr const& from, net::http_request request);
    /// A daemon that does not reach a pool passes on a request.
    void on_relayed_request(connection_ptr const& from,
                            net::http_request request);
    /// `relay` is set for a request that another daemon passes on.
    void start_call(connection_ptr const& from, net::http_request request,
                    request_metadata metadata,
                    std::optional<relay_terms> const& relay = std::nullopt);
    static void refuse_relayed(connection_ptr const& from);
    /// Counts a rejection by a target and logs what was known of it.
    void on_rejection(call const& rejected);
    /// Reads the target's entry if that tells which process is behind a
    /// connection.
    void prove_version(routing::target_info const& target,
                       base::time_point connected_at);
    void on_reach_changed(base::pool_id const& pool);
    bool admit(connection_ptr const& from, call::request_context& context);
    void reject(connection_ptr const& from, int status, char const* cause,
                std::string const& request_id,
                std::optional<base::duration> retry_after);
    void on_health_request(connection_ptr const& from,
                           net::http_request const& request);
    void on_metrics_request(connection_ptr const& from);

    void schedule_advance();
    void advance();
    void apply_action(sched::action const& action);
    /// Withdraws requests that are in quarantine now from targets.
    void on_quarantine_changed();
    bool is_ready() const;
    void add_reach(routing::peer_report& report) const;
    routing::daemon_state own_state() const;
    void update_heard_part();
    /// Tells the dispatcher which daemons share the limits of targets.
    void update_fleet();
    void on_reported_registry_change(routing::registry_change change);

    net::asio::io_context& loop_;
    settings settings_;
    protocol const& protocol_;
    newer_configuration_callback on_newer_configuration_;
    store_news_callbacks store_news_{[](routing::registry_change) {},
                                     [](routing::follower_position) {
                                     }};
    rate_limited_log log_{"entry"};
    base::random_source random_;
    std::uint64_t incarnation_;
    std::uint64_t next_call_ = 1;

    peer_exchange peers_;
    routing::dispatcher dispatcher_;
    routing::retry_budget retry_budget_;
    routing::quota_limiter quotas_;
    std::map<base::pool_id, routing::pool_latency> latencies_;
    target_links links_;
    outage_monitor outages_;
    crash_monitor crashes_;
    stream_origin_exchange origins_;
    daemon_directory daemon_directory_;
    request_metrics metrics_;

    net::http_listener callers_;
    net::http_listener relays_;
    net::http_listener health_;
    net::http_listener directory_;
    net::http_listener metrics_listener_;

    /// Hosts have 88 MB or more.
    byte_budget answer_budget_{32U << 20U};
    routing::configuration_ptr configuration_;
    base::time_point configured_at_{};
    routing::target_versions target_versions_;
    routing::entry_readings entry_readings_;
    std::function<void(base::target_id const&)> read_entry_ =
        [](base::target_id const&) {
        };
    std::map<routing::id_digest, base::workspace_id> workspaces_;
    std::map<base::request_id, std::shared_ptr<call>> calls_;
    std::array<routing::usage_schedule, report_group_count> usage_schedules_{};
    /// First statement of targets in the next report to each group.
    std::array<std::size_t, report_group_count> statement_turns_{};
    base::time_point heard_checked_at_{};
    routing::follower_position position_;
    routing::registry_change registry_change_;
    base::time_point registry_changed_at_ = base::time_point::min();
    /// The last one that was passed to the control plane.
    routing::registry_change reported_registry_change_;
    int store_restorations_ = 0;
    std::uint64_t brittle_rejections_ = 0;
    std::uint64_t other_rejections_ = 0;
    /// The store has told which daemons there are.
    bool is_fleet_listed_ = false;

    net::deadline_timer advance_timer_;
    graceful_shutdown shutdown_;
    bool advancing_ = false;
    bool advance_posted_ = false;
    bool quarantine_check_posted_ = false;
};

} // namespace tanagerlead::entry
