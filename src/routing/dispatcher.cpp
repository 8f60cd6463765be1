#include "src/routing/dispatcher.hpp"

#include "src/sched/cost.hpp"

#include <algorithm>
#include <cassert>
#include <limits>

namespace tanagerlead::routing
{

using namespace std::chrono_literals;

namespace
{

/// Pauses after failed connects. A restarted target is back within seconds.
constexpr sched::target_health::settings reconnect_backoff{300ms, 2s};
/// Fraction of its objective that a request may wait and still be on time; the
/// rest is left for the target.
constexpr double on_time_wait_fraction = 0.7;
/// A request is refused after waiting this many objectives, or this fraction of
/// the time to its deadline: the caller needs the rest for a retry.
constexpr double max_wait_objectives = 2.0;
constexpr double max_wait_fraction = 0.3;
/// Callers of a stream leave after a pause of two seconds or more.
constexpr base::duration max_stream_pause = 1800ms;
/// Weight of the newest request in the mean time that a slot is occupied.
constexpr double slot_time_gain = 0.05;
/// Bounds of the retry delay given to refused callers.
constexpr base::duration min_retry_after = 150ms;
constexpr base::duration max_retry_after = 5s;

/// When a peer falls silent its slots become free without any report, so the
/// dispatcher checks for free slots at this interval.
constexpr base::duration recheck_interval = 50ms;

/// Adds to the count of the same pool and tier, if the report has one.
void add_waiting(peer_report& out, waiting_count const& count)
{
    auto const known = std::find_if(out.waiting_.begin(), out.waiting_.end(),
                                    [&](waiting_count const& c) {
                                        return c.pool_ == count.pool_ &&
                                               c.tier_ == count.tier_;
                                    });
    if (known != out.waiting_.end())
    {
        known->count_ =
            static_cast<std::uint16_t>(known->count_ + count.count_);
    }
    else if (out.waiting_.size() < peer_report::max_waiting)
    {
        out.waiting_.push_back(count);
    }
}

} // namespace

dispatcher::dispatcher(settings s, peer_table const& peers)
    : settings_{std::move(s)}, peers_{peers}, random_{settings_.seed_},
      outages_{settings_.self_}, limits_{settings_.self_}, brittle_{
                                                               settings_.self_,
                                                               settings_.seed_}
{
}

dispatcher::pool_record& dispatcher::pool(base::pool_id const& id)
{
    auto const [entry, is_new] =
        pools_.try_emplace(lane_id{true, id, unknown_version},
                           target_selector{peers_, limits_, brittle_,
                                           settings_.data_centre_, random_});
    if (is_new)
    {
        entry->second.digest_ = digest_of(id.str());
        entry->second.targets_.set_weighs_kept_prompts(
            settings_.weighs_kept_prompts_);
    }
    return entry->second;
}

// A lane of its own keeps requests that wait for few targets from delaying
// those that any target of the pool may run.
dispatcher::pool_record& dispatcher::lane_of(pending_call const& call)
{
    auto const& id = call.work_.pool_;
    auto& unbound = pool(id);
    if (!call.version_)
    {
        return unbound;
    }
    auto const [entry, is_new] = pools_.try_emplace(
        lane_id{false, id, *call.version_}, unbound.targets_);
    auto& lane = entry->second;
    if (is_new)
    {
        lane.digest_ = unbound.digest_;
        lane.targets_.clear();
        for (auto& [target, record] : targets_)
        {
            if (record.info_.pool_ == id && record.version_ == *call.version_ &&
                record.version_ != unknown_version)
            {
                lane.targets_.add(record);
            }
        }
    }
    return lane;
}

void dispatcher::fill_lanes()
{
    std::erase_if(pools_, [](auto const& lane)
                  { return !lane.first.is_unbound_ && lane.second.is_idle(); });
    for (auto& [id, p] : pools_)
    {
        p.targets_.clear();
    }
    for (auto& [id, record] : targets_)
    {
        pool(record.info_.pool_).targets_.add(record);
        auto const lane =
            pools_.find({false, record.info_.pool_, record.version_});
        if (record.version_ != unknown_version && lane != pools_.end())
        {
            lane->second.targets_.add(record);
        }
    }
}

void dispatcher::set_targets(std::vector<target_info> const& targets)
{
    std::map<base::target_id, dispatch_target> next;
    for (auto const& info : targets)
    {
        auto const known = targets_.find(info.id_);
        dispatch_target record;
        record.health_ = sched::target_health{reconnect_backoff};
        if (known != targets_.end())
        {
            // A target that restarted under its old id starts with a new
            // record.
            if (known->second.info_.is_same_incarnation(info))
            {
                record = std::move(known->second);
            }
        }
        record.own_requests_ = 0;
        record.own_tokens_ = 0;
        record.info_ = info;
        record.digest_ = digest_of(info.id_.str());
        record.incarnation_ = digest_of(info);
        record.version_ = digest_of(info.pool_, info.version_);
        apply_announcements(record);
        record.is_out_ = outages_.is_out(record.incarnation_);
        next.emplace(info.id_, std::move(record));
    }
    targets_ = std::move(next);
    outages_.set_targets(targets);
    brittle_.set_targets(targets);
    for (auto const& [request, run] : in_flight_)
    {
        auto const there = targets_.find(run.target_);
        if (there != targets_.end())
        {
            ++there->second.own_requests_;
            there->second.own_tokens_ += run.tokens_;
        }
    }
    fill_lanes();
}

// A target whose registry entry was absent for a while returns with a new
// record, so the announcements are kept apart from the records.
void dispatcher::apply_announcements(dispatch_target& target) const
{
    target.announced_leaving_ = target.announced_leaving_ ||
                                announcements_.is_leaving(target.incarnation_);
    target.paused_until_ = announcements_.paused_until(target.incarnation_);
}

void dispatcher::apply_announcements(base::target_id const& target)
{
    auto const known = targets_.find(target);
    if (known != targets_.end())
    {
        apply_announcements(known->second);
    }
}

// An answer may come from an earlier start of a target than the registry has by
// now, and then it says nothing about the new start.
bool dispatcher::on_leaving(target_info const& target, base::time_point now)
{
    announcements_.expire(now);
    auto const is_new = announcements_.on_leaving(digest_of(target), now);
    apply_announcements(target.id_);
    return is_new;
}

void dispatcher::on_leaving_reported(incarnation_digest target,
                                     base::time_point now)
{
    // The registry may show this daemon the target only later.
    if (!announcements_.on_leaving_reported(target, now))
    {
        return;
    }
    announcements_.expire(now);
    for (auto& [id, record] : targets_)
    {
        apply_announcements(record);
    }
}

outage_update dispatcher::advance_outages(base::time_point now)
{
    outage_update out;
    auto const changed = outages_.advance(now);
    auto const due = outages_.due_probes(now);
    if (!changed && due.empty())
    {
        return out;
    }
    for (auto& [id, t] : targets_)
    {
        auto const is_out = outages_.is_out(t.incarnation_);
        if (is_out != t.is_out_)
        {
            (is_out ? out.went_out_ : out.came_back_).push_back(t.info_);
            t.is_out_ = is_out;
            // The backoff of this daemon ends with the outage.
            if (!is_out)
            {
                t.health_.on_progress(now);
            }
        }
        if (std::find(due.begin(), due.end(), t.incarnation_) != due.end())
        {
            out.probes_.push_back(t.info_);
        }
    }
    return out;
}

bool dispatcher::on_pause(target_info const& target, base::duration pause,
                          base::time_point now)
{
    announcements_.expire(now);
    auto const is_new = announcements_.on_pause(digest_of(target), pause, now);
    apply_announcements(target.id_);
    return is_new;
}

bool dispatcher::on_limit(target_info const& target,
                          std::optional<request_rate> limit,
                          base::time_point sent, base::time_point now)
{
    // Nearly all answers come while no target has a limit.
    return (limit || !limits_.empty()) &&
           limits_.on_answer(digest_of(target), limit, sent, now);
}

bool dispatcher::on_brittle(target_info const& target,
                            std::optional<request_rate> max_rejections,
                            base::time_point sent, base::time_point now)
{
    // Nearly all answers come while no target is brittle.
    return (max_rejections || !brittle_.empty()) &&
           brittle_.on_answer(target, max_rejections, sent, now);
}

void dispatcher::on_brittle_reported(peer_report const& report,
                                     base::time_point now)
{
    for (auto const& statement : report.brittle_pools_)
    {
        brittle_.on_pool_reported(statement, now);
    }
    for (auto const& statement : report.brittle_targets_)
    {
        brittle_.on_reported(statement, now);
    }
}

bool dispatcher::is_brittle(target_info const& target) const
{
    return brittle_.find(digest_of(target)) != nullptr;
}

std::optional<rejection_view>
dispatcher::view_rejection(base::target_id const& target,
                           base::time_point now) const
{
    auto const known = targets_.find(target);
    if (known == targets_.end())
    {
        return std::nullopt;
    }
    auto const& t = known->second;
    auto const since = [now](std::optional<base::time_point> at)
    {
        return at ? std::optional{now - *at} : std::nullopt;
    };
    auto const* const part = brittle_.find(t.incarnation_);
    rejection_view out;
    out.is_brittle_ = part != nullptr;
    out.own_requests_ = t.own_requests_;
    out.peer_requests_ = peers_.in_flight_elsewhere(t.digest_);
    out.own_slots_ = part != nullptr ? part->slots() : t.info_.slots_;
    out.known_for_ = since(t.first_sent_at_);
    out.since_rejection_ = since(t.rejected_at_);
    out.since_early_end_ = since(t.ended_early_at_);
    return out;
}

void dispatcher::on_limit_reported(limit_statement const& statement,
                                   base::time_point now)
{
    limits_.on_reported(statement, now);
}

void dispatcher::set_pools(std::vector<pool_limits> const& pools)
{
    for (auto& [id, p] : pools_)
    {
        p.targets_.set_kv_capacity(0);
    }
    for (auto const& limits : pools)
    {
        pool(limits.pool_);
        for (auto& [id, p] : pools_)
        {
            if (id.pool_ == limits.pool_)
            {
                p.targets_.set_kv_capacity(limits.kv_capacity_tokens_);
            }
        }
    }
}

std::optional<peer_ip>
dispatcher::find_slot_owner(base::pool_id const& id) const
{
    if (brittle_.empty())
    {
        return std::nullopt;
    }
    auto const found = pools_.find({true, id, unknown_version});
    return found == pools_.end() ? std::nullopt
                                 : found->second.targets_.find_slot_owner();
}

target_info const* dispatcher::find(base::target_id const& id) const
{
    auto const found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second.info_;
}

base::pool_id const* dispatcher::pool_of(version_digest version) const
{
    auto const found = std::find_if(targets_.begin(), targets_.end(),
                                    [version](auto const& entry) {
                                        return version != unknown_version &&
                                               entry.second.version_ == version;
                                    });
    return found == targets_.end() ? nullptr : &found->second.info_.pool_;
}

base::duration dispatcher::expected_wait(pool_record const& p, double ahead,
                                         base::time_point now) const
{
    auto const all = p.targets_.slot_count(p.mean_slot_seconds_, now);
    return all == 0 ? base::duration{}
                    : base::from_seconds(ahead * p.mean_slot_seconds_ / all);
}

// Requests of higher tiers go first, whichever daemon they wait at. Within a
// tier each daemon with waiting requests gets an equal share of the slots, and
// its workspaces take turns, so only part of the waiting requests go before a
// new one.
base::duration dispatcher::expected_wait(pool_record const& p,
                                         base::workspace_id const& workspace,
                                         base::tier tier,
                                         base::time_point now) const
{
    double higher = peers_.waiting_above(p.digest_, tier);
    auto before = p.on_time_.cost_ahead(workspace, tier);
    for (std::size_t t = 0; t < base::index(tier); ++t)
    {
        higher += p.waiting_.at(t);
        before -= p.on_time_.backlog(base::tier{static_cast<std::uint8_t>(t)});
    }
    auto const backlog = p.on_time_.backlog(tier);
    auto const part =
        backlog > 0 ? std::clamp(before / backlog, 0.0, 1.0) : 0.0;
    auto const here = part * static_cast<double>(p.on_time_.size(tier));
    return expected_wait(
        p, higher + here * (1 + peers_.daemons_waiting(p.digest_)), now);
}

// Spreads the retries of refused requests at the rate at which the pool can
// serve them, after the requests that wait now and after a pause of all its
// targets.
base::duration dispatcher::retry_after(base::pool_id const& id, base::tier tier,
                                       base::time_point now)
{
    auto& p = pool(id);
    auto const rate = p.mean_slot_seconds_ == 0
                          ? 0.0
                          : p.targets_.slot_count(p.mean_slot_seconds_, now) /
                                p.mean_slot_seconds_;
    auto const passed = base::seconds(now - p.pending_retries_at_);
    p.pending_retries_ = std::max(0.0, p.pending_retries_ - passed * rate);
    p.pending_retries_at_ = now;
    double ahead = peers_.waiting_up_to(p.digest_, tier);
    for (std::size_t t = 0; t <= base::index(tier); ++t)
    {
        ahead += p.waiting_.at(t);
    }
    auto const queued = base::seconds(expected_wait(p, ahead, now));
    auto const pending = rate == 0 ? 0.0 : p.pending_retries_ / rate;
    p.pending_retries_ += 1;
    auto const wait =
        std::max(base::seconds(min_retry_after), queued + pending) *
        (0.9 + 0.2 * random_.uniform());
    return time_to_turn(p, now) +
           std::min(base::from_seconds(wait), max_retry_after);
}

// A daemon without a share sends the caller away for the time in which the
// targets take one request; by then the caller may ask another daemon.
base::duration dispatcher::time_to_turn(pool_record const& p,
                                        base::time_point now)
{
    if (auto const turn = p.targets_.first_turn(now))
    {
        return *turn;
    }
    auto const total = p.targets_.total_limit();
    return total ? base::from_seconds(1.0 / total->per_second_)
                 : base::duration{};
}

base::duration dispatcher::max_wait(pending_call const& call,
                                    base::time_point now) const
{
    auto const left = base::seconds(call.work_.deadline_ - now);
    if (call.answer_started_)
    {
        return std::min(base::from_seconds(left), max_stream_pause);
    }
    return base::from_seconds(
        std::min(base::seconds(call.objective_) * max_wait_objectives,
                 left * max_wait_fraction));
}

void dispatcher::submit(pending_call item, base::time_point now)
{
    auto& p = lane_of(item);
    auto const request = item.work_.request_;
    assert(!waiting_.contains(request) && !in_flight_.contains(request));
    if (!p.targets_.has_target(item))
    {
        refuse_without_target(p, request, now, refused_);
        return;
    }
    auto const tier = item.work_.tier_;
    auto const objective = base::seconds(item.objective_);
    auto const wait_limit = max_wait(item, now);
    auto const expected =
        std::max(expected_wait(p, item.work_.workspace_, tier, now),
                 p.targets_.first_turn(now).value_or(base::duration::max()));
    if (!item.answer_started_ && expected > wait_limit)
    {
        refused_.push_back(
            sched::refusal{request,
                           {},
                           sched::refusal_cause::overloaded,
                           retry_after(item.work_.pool_, tier, now)});
        return;
    }
    auto w = std::make_unique<waiting_call>();
    w->item_ = item.work_;
    w->cost_ = sched::cost_of(item.work_.prompt_tokens_,
                              item.work_.max_output_tokens_);
    w->enqueued_ = now;
    w->refused_at_ = now + wait_limit;
    w->expires_ =
        std::min(now + base::from_seconds(objective * on_time_wait_fraction),
                 w->refused_at_);
    w->expiry_cause_ = sched::refusal_cause::overloaded;
    w->call_ = std::move(item);
    expiries_.add(w->expires_, request);
    queue_of(p, *w).push(*w);
    ++p.waiting_.at(base::index(tier));
    waiting_.emplace(request, std::move(w));
}

sched::fair_queue& dispatcher::queue_of(pool_record& p, waiting_call const& w)
{
    return w.is_late_ ? p.late_ : p.on_time_;
}

std::unique_ptr<dispatcher::waiting_call>
dispatcher::remove(base::request_id request)
{
    auto const found = waiting_.find(request);
    if (found == waiting_.end())
    {
        return nullptr;
    }
    auto w = std::move(found->second);
    waiting_.erase(found);
    expiries_.remove(w->expires_, request);
    --lane_of(w->call_).waiting_.at(base::index(w->item_.tier_));
    return w;
}

target_info const* dispatcher::find_free_slot(pending_call const& call,
                                              base::time_point now)
{
    auto& p = lane_of(call);
    if (front(p) != nullptr)
    {
        return nullptr;
    }
    auto const* const target =
        p.targets_.choose(call, target_selector::scope::all, now);
    return target == nullptr ? nullptr : &target->info_;
}

void dispatcher::occupy_slot(dispatch_target& target, pending_call const& call,
                             base::time_point now)
{
    auto const tokens = tokens_of(call);
    pool(call.work_.pool_).targets_.on_assigned(tokens);
    if (call.version_)
    {
        lane_of(call).targets_.on_assigned(tokens);
    }
    limits_.on_sent(target.incarnation_, now);
    target.first_sent_at_ = target.first_sent_at_.value_or(now);
    auto const is_trial =
        brittle_.on_sent(target.incarnation_, target.own_requests_, now);
    ++target.own_requests_;
    target.own_tokens_ += tokens;
    if (!call.prompt_.empty())
    {
        pool(call.work_.pool_).targets_.on_sent(target, call, now);
    }
    in_flight_.emplace(call.work_.request_,
                       running_call{target.info_.id_, call.work_.pool_, now,
                                    tokens, is_trial});
}

void dispatcher::assign(pending_call const& call, base::target_id const& target,
                        base::time_point now)
{
    assert(!waiting_.contains(call.work_.request_) &&
           !in_flight_.contains(call.work_.request_));
    occupy_slot(targets_.at(target), call, now);
}

void dispatcher::withdraw(base::request_id request)
{
    if (auto const w = remove(request))
    {
        queue_of(lane_of(w->call_), *w).erase(*w);
    }
}

void dispatcher::refuse_without_target(pool_record const& p,
                                       base::request_id request,
                                       base::time_point now,
                                       std::vector<sched::action>& out)
{
    out.push_back(sched::refusal{request,
                                 {},
                                 sched::refusal_cause::no_target,
                                 time_to_turn(p, now) + min_retry_after});
}

void dispatcher::expire(base::time_point now, std::vector<sched::action>& out)
{
    while (expiries_.due(now))
    {
        auto const request = expiries_.first();
        auto& w = *waiting_.at(request);
        auto& p = lane_of(w.call_);
        if (!w.is_late_ && now < w.refused_at_)
        {
            expiries_.remove(w.expires_, request);
            p.on_time_.erase(w);
            w.is_late_ = true;
            w.expires_ = w.refused_at_;
            p.late_.push(w);
            expiries_.add(w.expires_, request);
            continue;
        }
        auto const item = w.item_;
        auto const cause = w.expiry_cause_;
        withdraw(request);
        out.push_back(sched::refusal{
            request, {}, cause, retry_after(item.pool_, item.tier_, now)});
    }
}

// Serves on-time requests before late ones within a tier, so that overload
// makes some requests late and not all of them.
dispatcher::waiting_call* dispatcher::front(pool_record& p)
{
    constexpr auto all = base::tier{base::max_tiers - 1};
    auto* const on_time = static_cast<waiting_call*>(p.on_time_.front(all));
    auto* const late = static_cast<waiting_call*>(p.late_.front(all));
    if (on_time == nullptr || late == nullptr)
    {
        return on_time != nullptr ? on_time : late;
    }
    return on_time->item_.tier_ <= late->item_.tier_ ? on_time : late;
}

// Free slots are left to requests of higher tiers that wait at other daemons.
// The share of a limit is no use to them.
std::optional<target_selector::scope>
dispatcher::usable_targets(pool_record const& p, pending_call const& call,
                           base::time_point now) const
{
    using scope = target_selector::scope;
    auto const free = p.targets_.free_slots(call, scope::all, now);
    if (free <= 0)
    {
        return std::nullopt;
    }
    auto const own =
        limits_.empty() ? 0 : p.targets_.free_slots(call, scope::limited, now);
    if (peers_.waiting_above(p.digest_, call.work_.tier_) < free - own)
    {
        return scope::all;
    }
    return own > 0 ? std::optional{scope::limited} : std::nullopt;
}

void dispatcher::dispatch_waiting(pool_record& p, base::time_point now,
                                  std::vector<sched::action>& out)
{
    while (auto* const next = front(p))
    {
        auto const usable = usable_targets(p, next->call_, now);
        if (!usable)
        {
            return;
        }
        auto const request = next->item_.request_;
        auto* const target = p.targets_.choose(next->call_, *usable, now);
        if (target == nullptr && p.targets_.lacks_kv_capacity(next->call_, now))
        {
            return;
        }
        if (target == nullptr)
        {
            // Every target with a free slot was already tried.
            withdraw(request);
            refuse_without_target(p, request, now, out);
            continue;
        }
        queue_of(p, *next).take(*next);
        auto const w = remove(request);
        occupy_slot(*target, w->call_, now);
        out.push_back(sched::grant{request, {}, target->info_.id_});
    }
}

void dispatcher::advance(base::time_point now, std::vector<sched::action>& out)
{
    out.insert(out.end(), refused_.begin(), refused_.end());
    refused_.clear();
    expire(now, out);
    for (auto& [id, p] : pools_)
    {
        dispatch_waiting(p, now, out);
    }
    last_advance_ = now;
}

base::time_point dispatcher::next_wakeup() const
{
    if (!refused_.empty())
    {
        return base::time_point::min();
    }
    if (waiting_.empty())
    {
        return base::time_point::max();
    }
    return std::min(expiries_.next(), last_advance_ + recheck_interval);
}

void dispatcher::on_admitted(base::request_id request, base::time_point now)
{
    auto const found = in_flight_.find(request);
    if (found == in_flight_.end() || !found->second.is_trial_)
    {
        return;
    }
    found->second.is_trial_ = false;
    auto const known = targets_.find(found->second.target_);
    if (known != targets_.end())
    {
        brittle_.on_admitted(known->second.incarnation_, now);
    }
}

void dispatcher::on_attempt_end(base::request_id request, attempt_outcome end,
                                base::time_point now)
{
    auto const found = in_flight_.find(request);
    if (found == in_flight_.end())
    {
        return;
    }
    if (end == attempt_outcome::finished)
    {
        on_admitted(request, now);
    }
    auto const run = found->second;
    in_flight_.erase(found);
    auto const known = targets_.find(run.target_);
    if (known != targets_.end())
    {
        auto& t = known->second;
        --t.own_requests_;
        t.own_tokens_ -= run.tokens_;
        assert(t.own_requests_ >= 0);
        if (end == attempt_outcome::rejected)
        {
            t.rejected_at_ = now;
            brittle_.on_rejected(t.incarnation_, run.is_trial_, now);
        }
        else if (end == attempt_outcome::cancelled ||
                 end == attempt_outcome::lost)
        {
            t.ended_early_at_ = now;
        }
        if (end == attempt_outcome::lost)
        {
            brittle_.on_lost(t.incarnation_, run.is_trial_, now);
        }
        if (end == attempt_outcome::not_connected)
        {
            limits_.on_not_sent(t.incarnation_, now);
            t.health_.on_lost(run.dispatched_, now);
            t.prefixes_.clear();
        }
        else if (end == attempt_outcome::displaced)
        {
            t.displaced_ = true;
        }
        else if (end != attempt_outcome::cancelled)
        {
            t.health_.on_progress(now);
            t.failures_.add(end != attempt_outcome::finished);
        }
    }
    if (end == attempt_outcome::finished)
    {
        auto& p = pool(run.pool_);
        auto const held = base::seconds(now - run.dispatched_);
        p.mean_slot_seconds_ +=
            p.mean_slot_seconds_ == 0
                ? held
                : slot_time_gain * (held - p.mean_slot_seconds_);
    }
}

void dispatcher::on_service_time(base::target_id const& target,
                                 base::duration took, double units)
{
    auto const known = targets_.find(target);
    if (known != targets_.end())
    {
        known->second.service_time_.observe(base::seconds(took), units);
    }
}

void dispatcher::on_reachable(base::target_id const& target, bool reachable,
                              base::time_point now)
{
    auto const known = targets_.find(target);
    if (known == targets_.end())
    {
        return;
    }
    if (reachable)
    {
        known->second.health_.on_progress(now);
    }
    else
    {
        known->second.health_.on_lost(now, now);
    }
}

void dispatcher::report_usage(peer_report& out, base::time_point now,
                              std::size_t first) const
{
    out.leaving_targets_ =
        announcements_.reported(now, peer_report::max_leaving, first);
    outages_.add_to(out, now, first);
    out.limits_ = limits_.reported(now, first, peer_report::max_limits);
    brittle_.add_to(out, now, first);
    for (auto const& [id, t] : targets_)
    {
        if (t.own_requests_ > 0 &&
            out.in_flight_.size() < peer_report::max_targets)
        {
            out.in_flight_.push_back(
                {t.digest_, static_cast<std::uint16_t>(t.own_requests_)});
        }
    }
    for (auto const& [id, p] : pools_)
    {
        for (std::size_t tier = 0; tier < p.waiting_.size(); ++tier)
        {
            auto const count = p.waiting_.at(tier);
            if (count > 0)
            {
                add_waiting(out, {p.digest_, static_cast<std::uint8_t>(tier),
                                  static_cast<std::uint16_t>(count)});
            }
        }
    }
}

} // namespace tanagerlead::routing
