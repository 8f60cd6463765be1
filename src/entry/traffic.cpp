#include "src/entry/traffic.hpp"

#include "src/entry/call_report.hpp"
#include "src/entry/call_subject.hpp"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <cassert>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Part of the descriptors that callers may take; the rest is for targets, the
/// store and files.
constexpr double caller_descriptors = 0.7;
constexpr std::size_t most_small_connections = 256;
/// A caller that meets a daemon without configuration tries another one.
constexpr base::duration retry_when_starting = 300ms;
constexpr base::duration retry_when_leaving = 50ms;
constexpr base::duration retry_when_quarantined = 60s;
/// What a workspace spent is told again for this long.
constexpr base::duration spent_notice_time = 2s;
/// A quota may be overspent by what is admitted in this time; far less than
/// its burst.
constexpr base::duration spent_interval = 50ms;

} // namespace

traffic::traffic(net::asio::io_context& loop, settings const& s,
                 protocol const& speech, newer_configuration newer)
    : loop_{loop}, settings_{s}, protocol_{speech}, newer_{std::move(newer)},
      random_{base::entropy()}, life_{random_()}, peers_{loop, s, life_, *this},
      dispatcher_{{s.data_centre_, random_()}, peers_.board()},
      budget_{{s.retry_ratio_, s.retry_slack_, s.retry_window_}},
      quotas_{s.quota_slack_}, channels_{loop}, known_daemons_{settings_,
                                                               protocol_,
                                                               peers_.board()},
      callers_{
          loop,
          static_cast<std::size_t>(caller_descriptors *
                                   static_cast<double>(s.most_descriptors_)),
          [this](connection_ptr const& from, net::http_request r)
          {
              on_request(from, std::move(r));
          }},
      health_{loop, most_small_connections,
              [this](auto const& from, net::http_request const& r)
              {
                  on_health_request(from, r);
              }},
      directory_{loop, most_small_connections,
                 [this](auto const& from, net::http_request const& r)
                 {
                     from->answer(known_daemons_.answer(r.target_, is_ready(),
                                                        net::now()));
                 }},
      metrics_listener_{loop, most_small_connections,
                        [this](auto const& from, net::http_request const&)
                        {
                            on_metrics_request(from);
                        }},
      advance_alarm_{loop,
                     [this]
                     {
                         advance();
                     }},
      stop_{loop, callers_, log_,
            [this]
            {
                return calls_.size();
            }}
{
    callers_.on_bad_requests(
        [this](base::address const& from, int status)
        {
            metrics_.on_turned_away(status);
            log_.write(line_kind::bad_input,
                       log_line{"Malformed request."}
                           .with("peer", from.str())
                           .with("status", status),
                       net::now());
            net::http_response answer;
            answer.status_ = status;
            return answer;
        });
}

base::result<void> traffic::start()
{
    BOOST_OUTCOME_TRYV(callers_.listen(settings_.callers_));
    BOOST_OUTCOME_TRYV(health_.listen(settings_.health_));
    BOOST_OUTCOME_TRYV(directory_.listen(settings_.directory_));
    BOOST_OUTCOME_TRYV(metrics_listener_.listen(
        {settings_.callers_.ip_, settings_.metrics_port_}));
    return peers_.start();
}

void traffic::on_configuration(routing::configuration_ptr configuration)
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
    auto const& l = configuration_->limits();
    callers_.set_limits(
        {l.head_bytes_, l.body_bytes_, l.head_time_, l.idle_time_});
    peers_.changed();
}

void traffic::on_targets(std::vector<routing::target_info> const& targets)
{
    dispatcher_.set_targets(targets);
    channels_.set_targets(targets);
    wake();
}

void traffic::on_daemons(std::vector<std::string> const& ips)
{
    peers_.on_listed(ips);
    refresh_heard();
}

routing::daemon_state traffic::own_state() const
{
    if (stop_.has_begun())
    {
        return routing::daemon_state::leaving;
    }
    return configuration_ ? routing::daemon_state::ready
                          : routing::daemon_state::starting;
}

bool traffic::is_ready() const
{
    return own_state() == routing::daemon_state::ready;
}

void traffic::turn_away(connection_ptr const& from, int status,
                        char const* cause, std::string const& request_id,
                        std::optional<base::duration> retry_after)
{
    metrics_.on_turned_away(status);
    log_line line{"Request turned away."};
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
    log_.write(line_kind::request, line, net::now());
    from->answer(response);
}

void traffic::on_request(connection_ptr const& from, net::http_request request)
{
    auto marks = protocol_.read_call(request.headers_);
    if (!marks)
    {
        turn_away(from, 400, "malformed_header", "", std::nullopt);
        return;
    }
    auto const& id = marks.value().request_id_;
    if (!configuration_)
    {
        turn_away(from, 503, "no_configuration", id, retry_when_starting);
        return;
    }
    if (stop_.refuses())
    {
        turn_away(from, 503, "leaving", id, retry_when_leaving);
        return;
    }
    begin_call(from, std::move(request), std::move(marks).value());
}

void traffic::begin_call(connection_ptr const& from, net::http_request request,
                         call_marks marks)
{
    auto const found = configuration_->find(host_of(request.headers_),
                                            request.target_, marks.key_);
    if (found.verdict_ == routing::lookup_verdict::no_route)
    {
        turn_away(from, 404, "no_route", marks.request_id_, std::nullopt);
        return;
    }
    if (found.verdict_ == routing::lookup_verdict::no_key)
    {
        turn_away(from, 401, "no_key", marks.request_id_, std::nullopt);
        return;
    }
    call::subject about;
    about.id_ = {life_, next_call_++};
    about.request_ = std::move(request);
    about.marks_ = std::move(marks);
    about.configuration_ = configuration_;
    about.route_ = found.route_;
    about.workspace_ = found.workspace_;
    about.pool_ = choose_pool(*found.route_, random_);
    about.tier_ = found.tier_;
    about.deference_ = found.deference_;
    about.fingerprint_ = fingerprint_of(
        about.request_, found.workspace_ != nullptr ? found.workspace_->id_
                                                    : base::workspace_id{});
    budget_.on_request(about.pool_, net::now());
    if (!admit(from, about))
    {
        return;
    }
    auto const id = about.id_;
    auto const fresh = std::make_shared<call>(*this, from, std::move(about));
    calls_.emplace(id, fresh);
    fresh->start();
}

bool traffic::admit(connection_ptr const& from, call::subject& about)
{
    auto const now = net::now();
    auto const& id = about.marks_.request_id_;
    if (crashes_.blocked(about.fingerprint_, now))
    {
        turn_away(from, 503, "quarantined", id, retry_when_quarantined);
        return false;
    }
    if (about.workspace_ == nullptr)
    {
        return true;
    }
    auto const& w = *about.workspace_;
    auto const tokens =
        about.marks_.has_tokens_
            ? static_cast<double>(about.marks_.prompt_tokens_ +
                                  about.marks_.most_output_tokens_)
            : w.plain_tokens_;
    auto const units = w.counts_tokens_ ? tokens : 1.0;
    routing::quota_ledger::demand const demand{units, about.deference_};
    if (!quotas_.admit(w.id_, demand, now))
    {
        auto const view = quotas_.look(w.id_);
        log_.write(line_kind::attempt,
                   log_line{"Over quota."}
                       .with("request", id)
                       .with("workspace", w.id_.str())
                       .with("units", static_cast<std::int64_t>(units))
                       .with("level", static_cast<std::int64_t>(view.level_))
                       .with("rate", static_cast<std::int64_t>(view.rate_))
                       .with("heard_percent",
                             static_cast<std::int64_t>(100 * view.heard_)),
                   now);
        turn_away(from, 429, "quota", id,
                  quotas_.book_return(w.id_, demand, now));
        return false;
    }
    about.quota_units_ = units;
    peers_.changed();
    return true;
}

void traffic::submit(routing::call_item item)
{
    dispatcher_.submit(std::move(item), net::now());
    wake();
}

routing::target_info const* traffic::find_place(routing::call_item const& item)
{
    return dispatcher_.find_place(item, net::now());
}

void traffic::place(routing::call_item const& item,
                    base::target_id const& target)
{
    dispatcher_.place(item, target, net::now());
    peers_.changed();
}

void traffic::withdraw(call& waiting)
{
    dispatcher_.withdraw(waiting.about().id_);
}

void traffic::on_attempt_end(call& running, routing::call_end end)
{
    dispatcher_.on_end(running.about().id_, end, net::now());
    if (end == routing::call_end::finished)
    {
        crashes_.on_finished(running.about().fingerprint_, net::now());
    }
    if (end == routing::call_end::not_connected)
    {
        on_target_lost(running.target());
    }
    wake();
}

void traffic::on_pace(base::target_id const& target, base::duration took,
                      double units)
{
    dispatcher_.on_pace(target, took, units);
}

routing::pool_latency& traffic::latency(base::pool_id const& pool)
{
    return latencies_[pool];
}

bool traffic::take_retry(base::pool_id const& pool)
{
    budget_.set_daemons(peers_.board().known().size() + 1);
    return budget_.take(pool, net::now());
}

base::duration traffic::retry_after(call const& refused)
{
    return dispatcher_.retry_after(refused.about().pool_, refused.about().tier_,
                                   net::now());
}

void traffic::open_channel(
    routing::target_info const& target, base::duration most_idle,
    std::function<void(std::shared_ptr<net::channel>, net::error_code)> done)
{
    channels_.open(target, most_idle, std::move(done));
}

void traffic::keep_channel(base::target_id const& target,
                           std::shared_ptr<net::channel> const& used)
{
    channels_.keep(target, used);
}

// A broken connection alone may be a lost answer. Whether the target died with
// it shows when it is connected to.
void traffic::on_broken(call& running, base::target_id const& target)
{
    crashes_.on_broken(running.about().fingerprint_, target, net::now());
    auto const* const info = dispatcher_.find(target);
    if (info == nullptr || !probing_.insert(target).second)
    {
        return;
    }
    channels_.probe(*info,
                    [this, target](bool reachable)
                    {
                        probing_.erase(target);
                        dispatcher_.on_reachable(target, reachable, net::now());
                        if (!reachable)
                        {
                            on_target_lost(target);
                        }
                        wake();
                    });
}

void traffic::on_target_lost(base::target_id const& target)
{
    auto const now = net::now();
    for (auto const fingerprint : crashes_.on_unreachable(target, now))
    {
        log_.write(line_kind::target,
                   log_line{"Target lost with a request."}
                       .with("target", target.str())
                       .with("fingerprint",
                             static_cast<std::int64_t>(fingerprint >> 1U))
                       .with("blocked", crashes_.blocked(fingerprint, now)),
                   now);
        peers_.changed();
    }
}

void traffic::wake()
{
    if (advancing_ || wake_posted_)
    {
        return;
    }
    // One pass for all that happened in this turn of the loop.
    wake_posted_ = true;
    net::asio::post(loop_,
                    [this]
                    {
                        wake_posted_ = false;
                        advance();
                    });
}

void traffic::advance()
{
    advancing_ = true;
    std::vector<sched::action> actions;
    peers_.board().refresh(net::now());
    dispatcher_.advance(net::now(), actions);
    advancing_ = false;
    for (auto const& action : actions)
    {
        apply(action);
    }
    auto const next = dispatcher_.next_wakeup();
    if (next == base::time_point::max())
    {
        advance_alarm_.clear();
    }
    else
    {
        advance_alarm_.set(next);
    }
    peers_.changed();
}

void traffic::apply(sched::action const& action)
{
    if (auto const* const grant = std::get_if<sched::grant>(&action))
    {
        auto const found = calls_.find(grant->request_);
        auto const* const target = dispatcher_.find(grant->target_);
        assert(target != nullptr);
        if (found == calls_.end())
        {
            dispatcher_.on_end(grant->request_, routing::call_end::cancelled,
                               net::now());
            return;
        }
        auto const keep = found->second;
        keep->on_grant(*target);
        return;
    }
    auto const& refusal = std::get<sched::refusal>(action);
    auto const found = calls_.find(refusal.request_);
    if (found != calls_.end())
    {
        auto const keep = found->second;
        keep->on_refusal(refusal.cause_, refusal.retry_after_);
    }
}

void traffic::on_over(call& over, call_outcome outcome,
                      std::string const& cause)
{
    auto const now = net::now();
    auto const& about = over.about();
    auto const ran = over.progress().may_have_run_ ||
                     outcome == call_outcome::complete ||
                     outcome == call_outcome::target_error;
    if (!ran && about.workspace_ != nullptr)
    {
        quotas_.refund(about.workspace_->id_, about.quota_units_);
    }
    auto const workspace = about.workspace_ != nullptr ? about.workspace_->id_
                                                       : base::workspace_id{};
    auto const first = over.first_piece().value_or(now) - over.received();
    metrics_.on_call(workspace, about.tier_, outcome, cause, first,
                     now - over.received());
    auto line = describe_end(over, outcome, cause, first, now);
    line.with("waiting", static_cast<std::int64_t>(dispatcher_.waiting()))
        .with("in_flight", static_cast<std::int64_t>(dispatcher_.in_flight()));
    log_.write(line_kind::request, line, now);
    auto const found = calls_.find(about.id_);
    assert(found != calls_.end());
    // The call is in one of its own functions.
    net::asio::post(loop_, [ended = std::move(found->second)] {});
    calls_.erase(found);
    wake();
    stop_.on_call_end();
}

void traffic::fill(routing::peer_report& report, audience to)
{
    auto const now = net::now();
    report.state_ = own_state();
    report.data_centre_ = routing::digest_of(settings_.data_centre_.str());
    report.config_version_ =
        configuration_ ? static_cast<std::uint64_t>(configuration_->version())
                       : 0;
    dispatcher_.report_usage(report);
    // Totals lose nothing by waiting for the next report that carries them.
    auto& told = spent_told_.at(static_cast<std::size_t>(to));
    auto const tell_spent = now - told >= spent_interval;
    told = tell_spent ? now : told;
    for (auto const& usage : tell_spent
                                 ? quotas_.own_usage(now - spent_notice_time)
                                 : std::vector<routing::quota_usage>{})
    {
        if (report.spent_.size() < routing::peer_report::most_spent)
        {
            report.spent_.push_back(
                {routing::digest_of(usage.workspace_.str()), usage.units_});
        }
    }
    crashes_.fill(report, now);
}

void traffic::refresh_heard()
{
    quotas_.set_heard_part(peers_.board().heard_part(net::now()), net::now());
}

void traffic::on_news(routing::peer_ip from, routing::peer_report const& report,
                      routing::peer_board::news const& news)
{
    auto const now = net::now();
    for (auto const& spent : news.spent_more_)
    {
        auto const known = workspaces_.find(spent.workspace_);
        if (known != workspaces_.end())
        {
            quotas_.on_peer_usage(known->second,
                                  static_cast<double>(spent.units_), now);
        }
    }
    for (auto const& crash : report.crashes_)
    {
        crashes_.on_notice(crash, now);
    }
    auto const own_version =
        configuration_ ? static_cast<std::uint64_t>(configuration_->version())
                       : 0;
    if (report.config_version_ > own_version)
    {
        newer_(to_string(from));
    }
    refresh_heard();
    if (dispatcher_.waiting() > 0)
    {
        wake();
    }
}

void traffic::on_health_request(connection_ptr const& from,
                                net::http_request const& request)
{
    net::http_response response;
    response.status_ = 404;
    if (protocol_.is_ready_question(request.target_))
    {
        response.status_ = is_ready() ? 200 : 503;
    }
    from->answer(response);
}

void traffic::on_metrics_request(connection_ptr const& from)
{
    auto const now = net::now();
    auto const& board = peers_.board();
    std::vector<gauge> const gauges{
        {"waiting_requests", static_cast<double>(dispatcher_.waiting())},
        {"running_requests", static_cast<double>(dispatcher_.in_flight())},
        {"caller_connections", static_cast<double>(callers_.connections())},
        {"configuration_version",
         configuration_ ? static_cast<double>(configuration_->version()) : 0},
        {"configuration_age_seconds", base::seconds(now - configured_at_)},
        {"known_daemons", static_cast<double>(board.known().size() + 1)},
        {"heard_daemons", static_cast<double>(board.heard(now).size() + 1)},
        {"reports_sent_total", static_cast<double>(peers_.sent())},
        {"log_lines_left_out_total", static_cast<double>(log_.left_out())},
    };
    net::http_response response;
    response.status_ = 200;
    response.headers_.add("Content-Type", "text/plain; version=0.0.4");
    response.body_ = metrics_.text(gauges);
    from->answer(response);
}

void traffic::leave(std::function<void()> done)
{
    stop_.begin(settings_.grace_, std::move(done));
    peers_.send();
}

} // namespace tanagerlead::entry
