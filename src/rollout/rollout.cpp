#include "src/rollout/rollout.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerlead::rollout
{

using namespace std::chrono_literals;

namespace
{

constexpr base::duration max_duration = 24h;

/// A daemon sends to the new version only this long after the record was found
/// in the store by itself or by a peer, so that one that is cut off stops.
constexpr base::duration permit_life = 2s;
/// Peers of the lowest ranks read the record for all.
constexpr std::size_t readers = 3;
constexpr base::duration reader_interval = 500ms;
constexpr base::duration own_read_age = 1200ms;
/// A gap between ticks that tells of a pause. Reports that waited meanwhile
/// are older than they say.
constexpr base::duration pause_gap = 1s;
constexpr base::duration peer_life = 3s;
/// Daemons propose one after the other, which spares the store.
constexpr base::duration proposal_step = 500ms;
constexpr std::size_t max_proposal_steps = 4;
constexpr base::duration proposal_life = 1s;

/// The old version finishes its requests in the last part of the time: a
/// version that turns bad is still found before.
constexpr int move_fraction = 4;
constexpr base::duration max_move_time = 15s;
/// Caches and queues of the new targets fill step by step.
constexpr base::duration ramp_time = 4s;
/// The status is written this long before the time limit.
constexpr base::duration close_margin = 2s;
constexpr int close_fraction = 10;

base::duration move_time(order const& o)
{
    return std::min(o.duration_ / move_fraction, max_move_time);
}

base::duration close_time(order const& o)
{
    return o.duration_ - std::min(o.duration_ / close_fraction, close_margin);
}

} // namespace

std::string check(order const& o)
{
    if (o.to_.empty())
    {
        return "rollout: order names no version";
    }
    if (o.duration_ <= 0s || o.duration_ > max_duration)
    {
        return "rollout: order's duration is not within a day";
    }
    return {};
}

std::size_t trial_target_count(std::size_t before, std::size_t after,
                               double share)
{
    // With one target alone its own faults would be the version's.
    constexpr std::size_t min_count = 2;
    auto const fair = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(before)));
    return std::min(after, std::max(min_count, fair));
}

rollout::rollout(settings const& s, base::daemon_id self,
                 base::incarnation life)
    : settings_{s}, self_{std::move(self)}, life_{life},
      budget_{s.exposure_, 0}, evidence_{life}
{
}

void rollout::on_order(order const& o,
                       std::set<base::software_version> const& serving,
                       std::size_t daemons, base::time_point now)
{
    if (o.revision_ == order_.revision_)
    {
        return;
    }
    order_ = o;
    serving_ = serving;
    withdrawn_ = false;
    begin_ = now;
    phase_since_ = now;
    wanted_since_.reset();
    store_is_behind_ = false;
    move_credit_ = 0;
    peers_.clear();
    budget_ = exposure_budget{settings_.exposure_, daemons};
    evidence_ = evidence{life_};
}

void rollout::enter(phase p, base::time_point now)
{
    record_.phase_ = p;
    phase_since_ = now;
    wanted_since_.reset();
    move_credit_ = 0;
}

void rollout::on_record(std::optional<record> const& r, revision at,
                        base::time_point asked)
{
    if (at < record_revision_)
    {
        // Answers of the store may arrive out of order.
        return;
    }
    record_known_ = true;
    record_revision_ = at;
    confirmed_ = std::max(confirmed_, asked);
    bool const final_here = has_record() && is_final(record_.phase_);
    bool const same =
        r && final_here && r->order_ == record_.order_ && is_final(r->phase_);
    if (final_here && !same)
    {
        store_is_behind_ = true;
        return;
    }
    store_is_behind_ = false;
    if (!r)
    {
        record_ = {};
        return;
    }
    bool const changed =
        r->order_ != record_.order_ || r->phase_ != record_.phase_;
    record_ = *r;
    if (changed)
    {
        enter(r->phase_, asked);
    }
}

void rollout::on_store_restored()
{
    record_revision_ = 0;
    record_known_ = false;
    confirmed_ = {};
}

void rollout::on_report(base::daemon_id const& peer, report const& r,
                        base::time_point now)
{
    if (r.order_ != order_.revision_ || peer == self_)
    {
        return;
    }
    begin_ = std::min(begin_, now - r.elapsed_);
    peers_[peer] = {now, r.running_before_};
    evidence_.merge(peer, r.life_, r.routes_);
    if (!has_record() || r.record_ < record_revision_)
    {
        return;
    }
    if (r.record_ > record_revision_ && r.phase_ > record_.phase_ &&
        !is_final(record_.phase_))
    {
        record_revision_ = r.record_;
        enter(r.phase_, now);
    }
    if (r.phase_ == record_.phase_ && r.confirmed_age_ < permit_life &&
        now >= peers_confirm_from_)
    {
        confirmed_ = std::max(confirmed_, now - r.confirmed_age_);
    }
}

base::duration rollout::elapsed(base::time_point now) const
{
    return now - begin_;
}

bool rollout::permitted(base::time_point now) const
{
    return has_record() && !is_final(record_.phase_) && !withdrawn_ &&
           !evidence_.alarm() && now - confirmed_ < permit_life &&
           now - last_tick_ < pause_gap && elapsed(now) < order_.duration_;
}

arm rollout::choose(base::time_point now)
{
    budget_.on_request();
    if (has_record() && is_final(record_.phase_))
    {
        return record_.phase_ == phase::completed ? arm::after : arm::before;
    }
    if (!permitted(now))
    {
        return arm::before;
    }
    if (record_.phase_ == phase::moving)
    {
        move_credit_ += std::min(1.0, base::seconds(now - phase_since_) /
                                          base::seconds(ramp_time));
        if (move_credit_ >= 1)
        {
            move_credit_ -= 1;
            return arm::after;
        }
        return arm::before;
    }
    return budget_.try_take() ? arm::after : arm::before;
}

bool rollout::may_resume(arm version, base::time_point now)
{
    bool const final_phase = has_record() && is_final(record_.phase_);
    if (version == arm::before)
    {
        return !final_phase || record_.phase_ == phase::rolled_back;
    }
    if (final_phase)
    {
        return record_.phase_ == phase::completed;
    }
    return permitted(now) &&
           (record_.phase_ == phase::moving || budget_.try_take());
}

std::set<base::software_version> rollout::versions_before() const
{
    std::set<base::software_version> out;
    if (has_record())
    {
        return record_.from_;
    }
    if (record_.order_ == 0)
    {
        out = serving_;
    }
    else if (record_.phase_ == phase::completed)
    {
        out = {record_.to_};
    }
    else
    {
        out = record_.from_;
    }
    out.erase(order_.to_);
    return out;
}

std::optional<arm> rollout::side(base::software_version const& version) const
{
    if (version == order_.to_)
    {
        return arm::after;
    }
    return versions_before().contains(version) ? std::optional{arm::before}
                                               : std::nullopt;
}

void rollout::on_answer(route_digest route, arm version, bool failed,
                        base::duration latency)
{
    evidence_.on_answer(route, version, failed, latency);
}

std::size_t rollout::rank(base::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(),
        [&](auto const& p)
        { return p.first < self_ && now - p.second.heard_ < peer_life; }));
}

bool rollout::none_runs_before(base::time_point now) const
{
    // Daemons learn of the phase, and reports of its effect, a little later.
    return now - phase_since_ > ramp_time + permit_life &&
           running_before_ == 0 &&
           std::all_of(peers_.begin(), peers_.end(),
                       [&](auto const& p)
                       {
                           return now - p.second.heard_ >= peer_life ||
                                  p.second.running_before_ == 0;
                       });
}

std::optional<std::pair<phase, std::string>>
rollout::next_phase(base::time_point now) const
{
    if (withdrawn_)
    {
        return {{phase::rolled_back, "the order was withdrawn"}};
    }
    if (evidence_.alarm())
    {
        return {{phase::rolled_back, "the new version's answers are worse"}};
    }
    auto const passed = elapsed(now);
    if (record_.from_.empty())
    {
        return {{phase::completed, "no other version serves"}};
    }
    if (record_.phase_ == phase::moving)
    {
        if (none_runs_before(now))
        {
            return {{phase::completed, "nothing runs at the old version"}};
        }
        if (passed >= close_time(order_))
        {
            return {{phase::completed, "accepted, and the time limit is near"}};
        }
        return {};
    }
    if (passed >= close_time(order_))
    {
        return {{phase::rolled_back, "not accepted before the time limit"}};
    }
    if (passed >= order_.duration_ - move_time(order_) && evidence_.accepted())
    {
        return {{phase::moving, "the new version's answers are no worse"}};
    }
    return {};
}

rollout::actions rollout::tick(base::time_point now)
{
    if (now - last_tick_ > pause_gap)
    {
        peers_confirm_from_ = now + pause_gap;
        wanted_since_.reset();
    }
    last_tick_ = now;
    actions out;
    if (order_.revision_ == 0)
    {
        return out;
    }
    evidence_.evaluate();
    auto const my_rank = rank(now);
    bool const open = !has_record() || !is_final(record_.phase_);
    auto const max_age = my_rank < readers ? reader_interval : own_read_age;
    if ((open || !record_known_) && now - confirmed_ >= max_age &&
        now - last_read_ >= reader_interval)
    {
        out.read_ = true;
        last_read_ = now;
    }
    if (!record_known_ || (withdrawn_ && !has_record()))
    {
        return out;
    }

    record wanted = record_;
    std::string reason;
    if (!has_record())
    {
        wanted = {order_.revision_, order_.to_, versions_before(),
                  phase::trial};
        reason = "a new order";
    }
    else if (store_is_behind_)
    {
        reason = "the store had lost the end";
    }
    else if (is_final(record_.phase_))
    {
        return out;
    }
    else if (auto const next = next_phase(now))
    {
        wanted.phase_ = next->first;
        reason = next->second;
    }
    else
    {
        wanted_since_.reset();
        return out;
    }
    if (!wanted_since_)
    {
        wanted_since_ = now;
    }
    auto const delay =
        proposal_step *
        static_cast<std::int64_t>(std::min(my_rank, max_proposal_steps));
    if (now - *wanted_since_ >= delay)
    {
        wanted_since_ = now;
        out.write_ =
            proposal{wanted, record_revision_, now + proposal_life, reason};
    }
    return out;
}

report rollout::own_report(base::time_point now) const
{
    report out;
    out.life_ = life_;
    out.order_ = order_.revision_;
    out.elapsed_ = elapsed(now);
    if (has_record())
    {
        out.record_ = record_revision_;
        out.phase_ = record_.phase_;
        out.confirmed_age_ = now - confirmed_;
    }
    out.running_before_ = running_before_;
    out.routes_ = evidence_.own();
    return out;
}

} // namespace tanagerlead::rollout
