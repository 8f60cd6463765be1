#include "src/entry/data_plane.hpp"

#include "src/entry/call_log.hpp"
#include "src/entry/request_properties.hpp"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <cassert>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Fraction of the file descriptors that callers may use; the rest is for
/// targets, the store and files.
constexpr double caller_descriptor_fraction = 0.7;
constexpr std::size_t max_internal_connections = 256;
constexpr std::size_t max_relay_connections = 512;
/// What a relay adds to the head of a request.
constexpr std::size_t relay_head_bytes = 512;
/// Short, since a caller can retry at another daemon that has a configuration.
constexpr base::duration retry_when_starting = 300ms;
constexpr base::duration retry_when_shutting_down = 50ms;
/// Reports arrive more often than daemons become silent.
constexpr base::duration heard_check_interval = 20ms;
/// How long a change of the registry is named in reports. By then each daemon
/// has ended a watch.
constexpr base::duration registry_change_report_time =
    routing::store_follower::max_watch_time + 2s;

} // namespace

data_plane::data_plane(net::asio::io_context& loop, settings const& s,
                       protocol const& wire,
                       newer_configuration_callback on_newer_configuration)
    : loop_{loop}, settings_{s}, protocol_{wire},
      on_newer_configuration_{std::move(on_newer_configuration)},
      random_{base::entropy()}, incarnation_{random_()}, peers_{loop, s,
                                                                incarnation_,
                                                                *this},
      dispatcher_{{s.data_centre_, random_(),
                   parse_peer_ip(s.callers_.ip_).value_or(routing::peer_ip{}),
                   s.weighs_kept_prompts_},
                  peers_.board()},
      retry_budget_{{s.retry_ratio_, s.retry_slack_, s.retry_window_}},
      quotas_{s.quota_slack_}, links_{loop,
                                      s.report_port_,
                                      peers_.board(),
                                      log_,
                                      {[this](base::pool_id const& pool)
                                       { on_reach_changed(pool); },
                                       [this](routing::target_info const& t,
                                              bool connected)
                                       {
                                           outages_.on_connect(t, connected);
                                       }}},
      outages_{loop,
               s.shares_target_outages_,
               dispatcher_,
               links_,
               log_,
               {[this] { peers_.schedule_reports(); },
                [this]
                {
                    schedule_advance();
                }}},
      crashes_{parse_peer_ip(s.callers_.ip_).value_or(routing::peer_ip{}),
               dispatcher_,
               links_.targets(),
               log_,
               {[this] { peers_.schedule_reports(); },
                [this] { schedule_advance(); },
                [this]
                {
                    on_quarantine_changed();
                }}},
      origins_{loop, peers_,
               [this](routing::target_info const& target,
                      base::time_point connected_at) {
                   return target_versions_.version_of(target, connected_at,
                                                      net::now());
               },
               [this](routing::target_info const& target,
                      base::time_point connected_at)
               { prove_version(target, connected_at); },
               [this]
               {
                   return target_versions_.settled_at();
               }},
      daemon_directory_{settings_, protocol_, peers_.board()},
      callers_{
          loop,
          static_cast<std::size_t>(caller_descriptor_fraction *
                                   static_cast<double>(s.max_descriptors_)),
          [this](connection_ptr const& from, net::http_request r)
          {
              on_request(from, std::move(r));
          }},
      relays_{loop, max_relay_connections,
              [this](connection_ptr const& from, net::http_request r)
              {
                  on_relayed_request(from, std::move(r));
              }},
      health_{loop, max_internal_connections,
              [this](auto const& from, net::http_request const& r)
              {
                  on_health_request(from, r);
              }},
      directory_{
          loop, max_internal_connections,
          [this](auto const& from, net::http_request const& r)
          {
              from->answer(daemon_directory_.answer(
                  r.target_,
                  {is_ready(), peers_.role(), links_.reach().is_cut_off()},
                  net::now()));
          }},
      metrics_listener_{loop, max_internal_connections,
                        [this](auto const& from, net::http_request const&)
                        {
                            on_metrics_request(from);
                        }},
      advance_timer_{loop,
                     [this]
                     {
                         advance();
                     }},
      shutdown_{loop, callers_, log_,
                [this]
                {
                    return calls_.size();
                }}
{
    callers_.set_bad_request_handler(
        [this](base::address const& from, int status)
        {
            metrics_.on_rejected(status);
            log_.write(log_category::bad_input,
                       log_line{"Malformed request rejected."}
                           .with("peer", from.str())
                           .with("status", status),
                       net::now());
            net::http_response answer;
            answer.status_ = status;
            return answer;
        });
}

base::result<void> data_plane::start()
{
    BOOST_OUTCOME_TRYV(callers_.listen(settings_.callers_));
    BOOST_OUTCOME_TRYV(
        relays_.listen({settings_.callers_.ip_, settings_.report_port_}));
    BOOST_OUTCOME_TRYV(health_.listen(settings_.health_));
    BOOST_OUTCOME_TRYV(directory_.listen(settings_.directory_));
    BOOST_OUTCOME_TRYV(metrics_listener_.listen(
        {settings_.callers_.ip_, settings_.metrics_port_}));
    return peers_.start();
}

void data_plane::on_configuration(routing::configuration_ptr configuration)
{
    configuration_ = std::move(configuration);
    configured_at_ = net::now();
    quotas_.configure(configuration_->workspaces(), configured_at_);
    dispatcher_.set_pools(configuration_->pools());
    workspaces_.clear();
    for (auto const& w : configuration_->workspaces())
    {
        workspaces_.emplace(routing::digest_of(w.id_.str()), w.id_);
    }
    auto const& limits = configuration_->limits();
    callers_.set_limits({limits.max_header_bytes_, limits.max_body_bytes_,
                         limits.header_timeout_, limits.idle_timeout_});
    relays_.set_limits({limits.max_header_bytes_ + relay_head_bytes,
                        limits.max_body_bytes_, limits.header_timeout_,
                        limits.idle_timeout_});
    peers_.schedule_reports();
}

void data_plane::on_targets(std::vector<routing::target_info> const& targets)
{
    dispatcher_.set_targets(targets);
    target_versions_.set_targets(targets, net::now());
    links_.set_targets(targets);
    origins_.set_targets(targets);
    schedule_advance();
}

void data_plane::on_registry_state(bool is_current, base::time_point at)
{
    is_current ? target_versions_.on_registry_current(at)
               : target_versions_.on_registry_lost();
}

void data_plane::on_registry_confirmed(base::time_point at)
{
    target_versions_.on_registry_confirmed(at);
    origins_.on_versions_proved();
}

void data_plane::prove_version(routing::target_info const& target,
                               base::time_point connected_at)
{
    auto const now = net::now();
    if (target_versions_.is_settled(now) &&
        entry_readings_.start(target.id_, connected_at, now))
    {
        read_entry_(target.id_);
    }
}

void data_plane::on_entry_read(base::target_id const& target,
                               std::optional<routing::target_info> const& entry,
                               base::time_point asked)
{
    target_versions_.on_entry_read(target, entry, asked);
    origins_.on_versions_proved();
}

routing::version_finding
data_plane::version_of(routing::target_info const& target,
                       base::time_point connected_at)
{
    auto const found =
        target_versions_.version_of(target, connected_at, net::now());
    if (found.known_from_)
    {
        prove_version(target, connected_at);
    }
    return found;
}

void data_plane::find_origin(call& resumed)
{
    auto const& context = resumed.context();
    origins_.find({context.metadata_.resumed_attempt_, context.route_->host_,
                   context.request_.target_, context.route_->caller_patience()},
                  [waiting = resumed.weak_from_this()](
                      routing::origin_finding const& finding)
                  {
                      if (auto const alive = waiting.lock())
                      {
                          alive->on_origin(finding);
                      }
                  });
}

routing::stream_start data_plane::start_of(call const& c)
{
    auto const& route = *c.context().route_;
    auto const& target = c.target_record();
    return {route.host_, route.prefix_,
            routing::digest_of(target.pool_, target.version_)};
}

routing::begin_permission data_plane::may_begin_stream(call const& ready)
{
    auto const& route = *ready.context().route_;
    auto const& target = ready.target_record();
    auto const start = start_of(ready);
    auto const late_before = origins_.late_starts();
    auto const permission = start.version_ == routing::unknown_version
                                ? routing::begin_permission::granted
                                : origins_.may_begin(start, target.pool_);
    if (origins_.late_starts() > late_before)
    {
        log_.write(log_category::control_plane,
                   log_line{"Streams begin before their start is kept."}
                       .with("route", route.name_)
                       .with("version", target.version_.str()),
                   net::now());
    }
    return permission;
}

void data_plane::on_daemons(std::vector<std::string> const& ips)
{
    is_fleet_listed_ = true;
    peers_.on_listed(ips);
    update_heard_part();
    update_fleet();
}

void data_plane::on_heartbeat()
{
    update_heard_part();
    update_fleet();
}

void data_plane::update_fleet()
{
    auto const now = net::now();
    std::vector<routing::peer_ip> daemons;
    if (is_fleet_listed_ || !peers_.board().heard(now).empty())
    {
        daemons = peers_.board().working();
        if (!shutdown_.has_begun())
        {
            daemons.push_back(peers_.self());
        }
    }
    crashes_.set_fleet(daemons);
    dispatcher_.set_fleet(daemons, now);
    origins_.set_fleet_size(std::max<std::size_t>(daemons.size(), 1));
}

void data_plane::on_registry_change(routing::registry_change change)
{
    registry_change_ = change;
    registry_changed_at_ = net::now();
    peers_.schedule_reports();
}

void data_plane::on_reported_registry_change(routing::registry_change change)
{
    auto const is_known = change.era_ == registry_change_.era_ &&
                          change.revision_ <= registry_change_.revision_;
    if (!is_known && change != reported_registry_change_)
    {
        reported_registry_change_ = change;
        store_news_.registry_change_(change);
    }
}

routing::daemon_state data_plane::own_state() const
{
    if (shutdown_.has_begun())
    {
        return routing::daemon_state::leaving;
    }
    return configuration_ ? routing::daemon_state::ready
                          : routing::daemon_state::starting;
}

bool data_plane::is_ready() const
{
    return own_state() == routing::daemon_state::ready;
}

void data_plane::reject(connection_ptr const& from, int status,
                        char const* cause, std::string const& request_id,
                        std::optional<base::duration> retry_after)
{
    metrics_.on_rejected(status);
    log_line line{"Request rejected."};
    line.with("request", request_id)
        .with("status", status)
        .with("cause", cause);
    line.with("config", configuration_ ? static_cast<std::int64_t>(
                                             configuration_->version())
                                       : 0);
    if (configuration_)
    {
        line.with_ms("config_age_ms", net::now() - configured_at_);
    }
    net::http_response response;
    response.status_ = status;
    if (retry_after)
    {
        net::set_retry_after(response, *retry_after);
        line.with_ms("retry_after_ms", *retry_after);
    }
    log_.write(log_category::request, line, net::now());
    from->answer(response);
}

void data_plane::on_request(connection_ptr const& from,
                            net::http_request request)
{
    auto metadata = protocol_.read_request_metadata(request.headers_);
    if (!metadata)
    {
        reject(from, 400, "malformed_header", "", std::nullopt);
        return;
    }
    auto const& id = metadata.value().request_id_;
    if (!configuration_)
    {
        reject(from, 503, "no_configuration", id, retry_when_starting);
        return;
    }
    if (shutdown_.rejects_requests())
    {
        reject(from, 503, "leaving", id, retry_when_shutting_down);
        return;
    }
    start_call(from, std::move(request), std::move(metadata).value());
}

void data_plane::start_call(connection_ptr const& from,
                            net::http_request request,
                            request_metadata metadata,
                            std::optional<relay_terms> const& relay)
{
    auto const found = configuration_->find(host_of(request.headers_),
                                            request.target_, metadata.key_);
    if (relay && (found.status_ != routing::lookup_status::found ||
                  !found.route_->has_pool(relay->pool_)))
    {
        refuse_relayed(from);
        return;
    }
    if (found.status_ == routing::lookup_status::no_route)
    {
        reject(from, 404, "no_route", metadata.request_id_, std::nullopt);
        return;
    }
    if (found.status_ == routing::lookup_status::no_key)
    {
        reject(from, 401, "no_key", metadata.request_id_, std::nullopt);
        return;
    }
    call::request_context context;
    context.id_ = {incarnation_, next_call_++};
    context.request_ = std::move(request);
    context.metadata_ = std::move(metadata);
    if (!settings_.weighs_kept_prompts_)
    {
        // Each attempt would copy them.
        context.metadata_.sized_parts_.clear();
    }
    context.configuration_ = configuration_;
    context.route_ = found.route_;
    context.workspace_ = found.workspace_;
    context.pool_ = relay ? relay->pool_ : choose_pool(*found.route_, random_);
    context.pool_digest_ = routing::digest_of(context.pool_.str());
    context.tier_ = found.tier_;
    context.relative_rank_ = found.relative_rank_;
    context.fingerprint_ = fingerprint_of(
        context.request_, found.workspace_ != nullptr ? found.workspace_->id_
                                                      : base::workspace_id{});
    peers_.on_request();
    if (relay)
    {
        // The sender has counted and admitted the request.
        context.is_relayed_ = true;
        auto const limited = std::make_shared<routing::route>(*found.route_);
        limited->max_attempts_ = relay->attempts_;
        context.limited_route_ = limited;
        context.route_ = limited.get();
    }
    else
    {
        retry_budget_.on_request(context.pool_, net::now());
        if (!admit(from, context))
        {
            return;
        }
    }
    auto const id = context.id_;
    auto const fresh = std::make_shared<call>(*this, from, std::move(context));
    calls_.emplace(id, fresh);
    fresh->start();
}

bool data_plane::admit(connection_ptr const& from,
                       call::request_context& context)
{
    auto const now = net::now();
    auto const& id = context.metadata_.request_id_;
    if (!crashes_.admits(context, now))
    {
        reject(from, 503, "quarantined", id, call::retry_when_quarantined);
        return false;
    }
    if (context.workspace_ == nullptr)
    {
        return true;
    }
    auto const& w = *context.workspace_;
    auto const tokens =
        context.metadata_.has_tokens_
            ? static_cast<double>(context.metadata_.prompt_tokens_ +
                                  context.metadata_.max_output_tokens_)
            : w.default_tokens_;
    auto const units = w.counts_tokens_ ? tokens : 1.0;
    routing::quota_limiter::demand const demand{units, context.relative_rank_};
    if (!quotas_.admit(w.id_, demand, now))
    {
        auto const view = quotas_.inspect(w.id_);
        log_.write(log_category::attempt,
                   log_line{"Request exceeds the quota of its workspace."}
                       .with("request", id)
                       .with("workspace", w.id_.str())
                       .with("units", static_cast<std::int64_t>(units))
                       .with("level", static_cast<std::int64_t>(view.level_))
                       .with("rate", static_cast<std::int64_t>(view.rate_))
                       .with("heard_percent", static_cast<std::int64_t>(
                                                  100 * view.heard_fraction_)),
                   now);
        reject(from, 429, "quota", id,
               quotas_.schedule_retry(w.id_, demand, now));
        return false;
    }
    context.quota_units_ = units;
    peers_.schedule_reports();
    return true;
}

void data_plane::submit(routing::pending_call item)
{
    dispatcher_.submit(std::move(item), net::now());
    schedule_advance();
}

routing::target_info const*
data_plane::find_free_slot(routing::pending_call const& item)
{
    return dispatcher_.find_free_slot(item, net::now());
}

void data_plane::assign(routing::pending_call const& item,
                        base::target_id const& target)
{
    dispatcher_.assign(item, target, net::now());
    peers_.schedule_reports();
}

void data_plane::withdraw(call& waiting)
{
    dispatcher_.withdraw(waiting.context().id_);
}

void data_plane::on_admitted(call const& running)
{
    dispatcher_.on_admitted(running.context().id_, net::now());
}

void data_plane::on_attempt_end(call& running, routing::attempt_outcome end)
{
    if (end == routing::attempt_outcome::rejected && !running.is_at_relay())
    {
        on_rejection(running);
    }
    dispatcher_.on_attempt_end(running.context().id_, end, net::now());
    if (running.is_at_relay())
    {
        return;
    }
    if (end == routing::attempt_outcome::finished)
    {
        crashes_.on_finished(running);
    }
    if (end == routing::attempt_outcome::not_connected)
    {
        crashes_.on_unreachable(running.target());
    }
    schedule_advance();
}

void data_plane::on_rejection(call const& rejected)
{
    auto const now = net::now();
    auto const view = dispatcher_.view_rejection(rejected.target(), now);
    if (!view)
    {
        return;
    }
    ++(view->is_brittle_ ? brittle_rejections_ : other_rejections_);
    // Rejections of other targets are usual under load.
    if (dispatcher_.brittle_count() == 0)
    {
        return;
    }
    log_line line{"Target had no room."};
    line.with("target", rejected.target().str())
        .with("brittle", static_cast<std::int64_t>(view->is_brittle_))
        .with("own", view->own_requests_)
        .with("slots", view->own_slots_)
        .with("peers", view->peer_requests_)
        .with("daemons",
              static_cast<std::int64_t>(peers_.board().working().size() + 1));
    auto const add = [&](char const* name, std::optional<base::duration> time)
    {
        if (time)
        {
            line.with_ms(name, *time);
        }
    };
    add("known_ms", view->known_for_);
    add("since_rejection_ms", view->since_rejection_);
    add("since_early_end_ms", view->since_early_end_);
    log_.write(log_category::target, line, now);
}

void data_plane::on_service_time(base::target_id const& target,
                                 base::duration took, double units)
{
    dispatcher_.on_service_time(target, took, units);
}

routing::pool_latency& data_plane::latency(base::pool_id const& pool)
{
    return latencies_[pool];
}

bool data_plane::take_retry(base::pool_id const& pool)
{
    auto const now = net::now();
    if (is_fleet_listed_ || !peers_.board().heard(now).empty())
    {
        retry_budget_.on_daemons(peers_.board().known_count() + 1, now);
    }
    return retry_budget_.try_take(pool, now);
}

bool data_plane::may_move_streams() const
{
    return !shutdown_.has_begun() && target_versions_.is_settled(net::now());
}

base::duration data_plane::retry_after(call const& refused)
{
    return dispatcher_.retry_after(refused.context().pool_,
                                   refused.context().tier_, net::now());
}

void data_plane::acquire_channel(
    routing::target_info const& target, base::duration max_idle,
    std::function<void(std::shared_ptr<net::channel>, net::error_code)> done)
{
    links_.acquire(target, max_idle, std::move(done));
}

void data_plane::release_channel(base::target_id const& target,
                                 std::shared_ptr<net::channel> const& channel)
{
    links_.release(target, channel);
}

void data_plane::on_announcement(routing::target_info const& target,
                                 answer_metadata const& metadata)
{
    auto const now = net::now();
    if (metadata.is_leaving_ && dispatcher_.on_leaving(target, now))
    {
        log_.write(log_category::target,
                   log_line{"Target announced its shutdown."}.with(
                       "target", target.id_.str()),
                   now);
        peers_.schedule_reports();
    }
    if (metadata.pause_ && dispatcher_.on_pause(target, *metadata.pause_, now))
    {
        log_.write(log_category::target,
                   log_line{"Target asked for a pause."}
                       .with("target", target.id_.str())
                       .with_ms("pause_ms", *metadata.pause_),
                   now);
    }
}

void data_plane::on_limit(routing::target_info const& target,
                          std::optional<routing::request_rate> limit,
                          base::time_point sent)
{
    auto const now = net::now();
    if (!dispatcher_.on_limit(target, limit, sent, now))
    {
        return;
    }
    log_line line{limit ? "Target named a limit."
                        : "Target has no limit any more."};
    line.with("target", target.id_.str());
    if (limit)
    {
        line.with("per_second", std::to_string(limit->per_second_));
    }
    log_.write(log_category::target, line, now);
    peers_.schedule_reports();
}

void data_plane::on_brittle(routing::target_info const& target,
                            std::optional<routing::request_rate> max_rejections,
                            base::time_point sent)
{
    auto const now = net::now();
    if (!dispatcher_.on_brittle(target, max_rejections, sent, now))
    {
        return;
    }
    log_line line{max_rejections ? "Target is brittle."
                                 : "Target is brittle no more."};
    line.with("target", target.id_.str());
    if (max_rejections)
    {
        line.with("rejections_per_second",
                  std::to_string(max_rejections->per_second_));
    }
    log_.write(log_category::target, line, now);
    peers_.schedule_reports();
}

// Posted, since a call may be the one that changed the quarantine.
void data_plane::on_quarantine_changed()
{
    if (quarantine_check_posted_)
    {
        return;
    }
    quarantine_check_posted_ = true;
    net::asio::post(loop_,
                    [this]
                    {
                        quarantine_check_posted_ = false;
                        auto const calls = calls_;
                        for (auto const& [id, running] : calls)
                        {
                            running->on_quarantine_changed();
                        }
                    });
}

void data_plane::schedule_advance()
{
    if (advancing_ || advance_posted_)
    {
        return;
    }
    // All events of one loop iteration share one dispatcher pass.
    advance_posted_ = true;
    net::asio::post(loop_,
                    [this]
                    {
                        advance_posted_ = false;
                        advance();
                    });
}

void data_plane::advance()
{
    advancing_ = true;
    std::vector<sched::action> actions;
    peers_.board().refresh(net::now());
    dispatcher_.advance(net::now(), actions);
    advancing_ = false;
    for (auto const& action : actions)
    {
        apply_action(action);
    }
    auto const next = dispatcher_.next_wakeup();
    if (next == base::time_point::max())
    {
        advance_timer_.clear();
    }
    else
    {
        advance_timer_.set(next);
    }
    peers_.schedule_reports();
}

void data_plane::apply_action(sched::action const& action)
{
    if (auto const* const grant = std::get_if<sched::grant>(&action))
    {
        auto const found = calls_.find(grant->request_);
        auto const* const target = dispatcher_.find(grant->target_);
        assert(target != nullptr);
        if (found == calls_.end())
        {
            dispatcher_.on_attempt_end(grant->request_,
                                       routing::attempt_outcome::cancelled,
                                       net::now());
            return;
        }
        auto const running = found->second;
        running->on_grant(*target);
        return;
    }
    auto const& refusal = std::get<sched::refusal>(action);
    auto const found = calls_.find(refusal.request_);
    if (found != calls_.end())
    {
        auto const running = found->second;
        running->on_refusal(refusal.cause_, refusal.retry_after_);
    }
}

void data_plane::on_call_finished(call& finished, call_outcome outcome,
                                  std::string const& cause)
{
    auto const now = net::now();
    auto const& context = finished.context();
    auto const ran = finished.progress().may_have_run_ ||
                     outcome == call_outcome::complete ||
                     outcome == call_outcome::target_error;
    if (!ran && context.workspace_ != nullptr)
    {
        quotas_.refund(context.workspace_->id_, context.quota_units_);
    }
    auto const workspace = context.workspace_ != nullptr
                               ? context.workspace_->id_
                               : base::workspace_id{};
    auto const first =
        finished.first_byte_at().value_or(now) - finished.received();
    metrics_.on_call(workspace, context.tier_, outcome, cause, first,
                     now - finished.received());
    auto line = call_end_line(finished, outcome, cause, first, now);
    line.with("waiting", static_cast<std::int64_t>(dispatcher_.waiting()))
        .with("in_flight", static_cast<std::int64_t>(dispatcher_.in_flight()));
    log_.write(log_category::request, line, now);
    auto const found = calls_.find(context.id_);
    assert(found != calls_.end());
    // A member function of the call is still on the stack, so its destruction
    // is deferred.
    net::asio::post(loop_, [released = std::move(found->second)] {});
    calls_.erase(found);
    schedule_advance();
    shutdown_.check_soon();
}

void data_plane::fill_report(routing::peer_report& report, report_group to,
                             base::duration usage_time)
{
    auto const now = net::now();
    report.state_ = own_state();
    report.data_centre_ = routing::digest_of(settings_.data_centre_.str());
    report.config_version_ =
        configuration_ ? static_cast<std::uint64_t>(configuration_->version())
                       : 0;
    auto& turn = statement_turns_.at(static_cast<std::size_t>(to));
    dispatcher_.report_usage(report, now, turn);
    static_assert(routing::peer_report::max_leaving ==
                  routing::peer_report::max_limits);
    turn += routing::peer_report::max_leaving;
    usage_schedules_.at(static_cast<std::size_t>(to))
        .add_to(report, quotas_, usage_time, now);
    crashes_.add_to(report, to, usage_time, now);
    add_reach(report);
    if (registry_changed_at_ != base::time_point::min() &&
        now - registry_changed_at_ <= registry_change_report_time)
    {
        report.registry_changes_.push_back(registry_change_);
    }
}

void data_plane::on_role_changed(routing::daemon_role role)
{
    log_.write(log_category::control_plane,
               log_line{"Role of this daemon changed."}.with(
                   "role", routing::name_of(role)),
               net::now());
}

void data_plane::update_heard_part()
{
    auto const now = net::now();
    heard_checked_at_ = now;
    quotas_.set_heard_fraction(peers_.board().heard_fraction(now), now);
    auto const position = peers_.position(now);
    if (position != position_)
    {
        position_ = position;
        store_news_.position_(position);
    }
}

void data_plane::on_peer_report(routing::peer_ip from,
                                routing::peer_report const& report,
                                routing::peer_table::report_delta const& delta)
{
    auto const now = net::now();
    for (auto const& spent : delta.spent_deltas_)
    {
        auto const known = workspaces_.find(spent.workspace_);
        if (known != workspaces_.end())
        {
            quotas_.on_peer_usage(known->second,
                                  static_cast<double>(spent.units_), now);
        }
    }
    crashes_.on_report(report, now);
    outages_.on_report(from, report);
    for (auto const target : report.leaving_targets_)
    {
        dispatcher_.on_leaving_reported(target, now);
    }
    for (auto const& statement : report.limits_)
    {
        dispatcher_.on_limit_reported(statement, now);
    }
    dispatcher_.on_brittle_reported(report, now);
    for (auto const& change : report.registry_changes_)
    {
        on_reported_registry_change(change);
    }
    auto const own_version =
        configuration_ ? static_cast<std::uint64_t>(configuration_->version())
                       : 0;
    if (report.config_version_ > own_version)
    {
        on_newer_configuration_(to_string(from));
    }
    if (now - heard_checked_at_ >= heard_check_interval)
    {
        update_heard_part();
    }
    if (dispatcher_.waiting() > 0)
    {
        schedule_advance();
    }
}

void data_plane::on_health_request(connection_ptr const& from,
                                   net::http_request const& request)
{
    net::http_response response;
    response.status_ = 404;
    if (protocol_.is_readiness_query(request.target_))
    {
        response.status_ = is_ready() ? 200 : 503;
    }
    from->answer(response);
}

void data_plane::on_metrics_request(connection_ptr const& from)
{
    auto const now = net::now();
    auto const& board = peers_.board();
    std::vector<gauge> gauges{
        {"waiting_requests", static_cast<double>(dispatcher_.waiting())},
        {"running_requests", static_cast<double>(dispatcher_.in_flight())},
        {"caller_connections",
         static_cast<double>(callers_.connection_count())},
        {"configuration_version",
         configuration_ ? static_cast<double>(configuration_->version()) : 0},
        {"configuration_age_seconds", base::seconds(now - configured_at_)},
        {"known_daemons", static_cast<double>(board.known_count() + 1)},
        {"heard_daemons", static_cast<double>(board.heard(now).size() + 1)},
        {"is_serving",
         peers_.role() == routing::daemon_role::serving ? 1.0 : 0.0},
        {"reports_sent_total", static_cast<double>(peers_.sent_count())},
        {"store_restorations_total", static_cast<double>(store_restorations_)},
        {"targets_leaving_announced_total",
         static_cast<double>(dispatcher_.announcements().leaving_count())},
        {"target_pauses_total",
         static_cast<double>(dispatcher_.announcements().pause_count())},
        {"quarantined_prompt_parts",
         static_cast<double>(crashes_.quarantined_parts(now))},
        {"targets_out", static_cast<double>(dispatcher_.outages().out_count())},
        {"target_limits", static_cast<double>(dispatcher_.limits().count())},
        {"brittle_targets", static_cast<double>(dispatcher_.brittle_count())},
        {"brittle_target_rejections_total",
         static_cast<double>(brittle_rejections_)},
        {"other_target_rejections_total",
         static_cast<double>(other_rejections_)},
        {"stream_origins_found_total",
         static_cast<double>(origins_.counts().found_)},
        {"stream_origins_unknown_total",
         static_cast<double>(origins_.counts().unknown_)},
        {"stream_origins_inferred_total",
         static_cast<double>(origins_.counts().inferred_)},
        {"stream_starts_late_total",
         static_cast<double>(origins_.late_starts())},
        {"stream_origins_archived_total",
         static_cast<double>(origins_.counts().archived_)},
        {"registry_entry_readings_total",
         static_cast<double>(entry_readings_.count())},
        {"log_lines_left_out_total",
         static_cast<double>(log_.suppressed_count())},
    };
    for (auto const& [gap, count] : origins_.counts().gaps_)
    {
        gauges.push_back(
            {"stream_origin_gaps_total", static_cast<double>(count),
             "gap=\"" + std::string{routing::name_of(gap)} + "\""});
    }
    net::http_response response;
    response.status_ = 200;
    response.headers_.add("Content-Type", "text/plain; version=0.0.4");
    response.body_ = metrics_.text(gauges);
    from->answer(response);
}

void data_plane::shut_down(std::function<void()> done)
{
    shutdown_.begin(settings_.grace_period_, std::move(done));
    peers_.send_now();
}

} // namespace tanagerlead::entry
