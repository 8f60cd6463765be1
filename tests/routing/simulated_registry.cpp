#include "tests/routing/simulated_registry.hpp"
#include "tests/routing/fixtures.hpp"

#include <algorithm>

namespace tanagerlead::routing::testing
{

namespace
{

constexpr base::duration step = 10ms;
constexpr base::duration answer_time = 10ms;
constexpr base::duration check_interval = 50ms;
constexpr base::duration call_timeout = 1500ms;
constexpr base::duration report_interval = 150ms;
constexpr base::duration max_report_delay = 60ms;
constexpr double report_loss = 0.2;
constexpr base::duration position_interval = 600ms;
constexpr base::duration mean_fault_interval = 2500ms;
/// Entries expire after three missed heartbeats of 1.2 s.
constexpr base::duration expiry_time = 3600ms;
constexpr base::duration max_registration_time = 1900ms;
constexpr std::size_t target_count = 12;
/// Age of a daemon from which on it must know the live targets. It may start in
/// an outage and find the registry empty.
constexpr base::duration warm_up_time = 12s;

} // namespace

simulated_registry::simulated_registry(settings s, std::uint64_t seed)
    : settings_{s}, random_{seed}, now_{at(0s)}, next_fault_{at(2s)},
      next_report_{now_}, next_position_{now_}
{
    for (std::size_t i = 0; i < target_count; ++i)
    {
        simulated_target t;
        t.info_ = target("t" + std::to_string(i), 4);
        targets_.push_back(std::move(t));
        put(i);
    }
    for (std::size_t i = 0; i < settings_.daemons_; ++i)
    {
        daemons_.emplace_back().number_ = i;
        start(daemons_.back());
    }
}

base::duration simulated_registry::between(base::duration least,
                                           base::duration most)
{
    return base::from_seconds(base::seconds(least) +
                              random_.uniform() * base::seconds(most - least));
}

void simulated_registry::start(daemon& d)
{
    d.follower_ = std::make_unique<store_follower>(700ms, random_());
    d.directory_ = {};
    d.newest_seen_ = {};
    d.calls_.clear();
    d.was_lost_ = false;
    d.started_at_ = now_;
    d.follower_->start(now_);
}

simulated_registry::path simulated_registry::path_of(daemon const& d) const
{
    if (now_ < store_until_)
    {
        return store_;
    }
    return now_ < d.path_until_ ? d.path_ : path::open;
}

void simulated_registry::run(base::duration length)
{
    for (auto const end = now_ + length; now_ < end; now_ += step)
    {
        fail_at_random();
        move_targets();
        if (now_ >= next_position_)
        {
            next_position_ = now_ + position_interval;
            update_positions();
        }
        if (now_ >= next_report_)
        {
            next_report_ = now_ + report_interval;
            report_changes();
        }
        while (!reports_.empty() && reports_.front().arrives_at_ <= now_)
        {
            auto& to = daemons_.at(reports_.front().to_);
            if (!is_frozen(to) && !is_unheard(to))
            {
                to.follower_->on_peer_revision(reports_.front().revision_,
                                               now_);
            }
            reports_.pop_front();
        }
        for (auto& d : daemons_)
        {
            if (!is_frozen(d))
            {
                answer_calls(d);
                advance(d);
            }
        }
        check();
    }
}

void simulated_registry::fail_at_random()
{
    if (now_ < next_fault_)
    {
        return;
    }
    next_fault_ = now_ + between({}, 2 * mean_fault_interval);
    if (random_.below(4) == 0)
    {
        disturb_store();
        return;
    }
    auto const count = 1 + random_.below(1 + daemons_.size() / 3);
    for (std::size_t i = 0; i < count; ++i)
    {
        disturb_daemon();
    }
}

void simulated_registry::disturb_store()
{
    if (random_.below(3) == 0)
    {
        // All connections go silent for good, and new ones work.
        for (auto& d : daemons_)
        {
            d.disturbed_at_ = std::max(d.disturbed_at_, now_);
            for (auto& c : d.calls_)
            {
                c.is_dead_ = true;
            }
        }
        return;
    }
    store_ = random_.below(2) == 0 ? path::silent : path::refused;
    store_failed_at_ = now_;
    store_until_ = now_ + between(500ms, 6s);
    store_disturbed_at_ = store_until_;
    entries_expire_ = random_.below(2) == 0;
}

void simulated_registry::disturb_daemon()
{
    auto& d = daemons_.at(random_.below(daemons_.size()));
    auto const until = now_ + between(300ms, 6s);
    switch (random_.below(5))
    {
    case 0:
        d.path_ = random_.below(2) == 0 ? path::silent : path::refused;
        d.path_until_ = until;
        break;
    case 1:
        d.frozen_until_ = until;
        break;
    case 2:
        start(d);
        d.disturbed_at_ = std::max(d.disturbed_at_, now_);
        return;
    case 3:
        d.unheard_until_ = until;
        d.path_ = path::silent;
        d.path_until_ = until;
        break;
    default:
        for (auto& c : d.calls_)
        {
            c.is_dead_ = true;
        }
        d.disturbed_at_ = std::max(d.disturbed_at_, now_);
        return;
    }
    d.disturbed_at_ = std::max(d.disturbed_at_, until);
}

void simulated_registry::put(std::size_t index)
{
    auto& t = targets_.at(index);
    t.is_listed_ = true;
    t.revision_ = store_revision{++revision_};
    t.registers_at_ = base::time_point::max();
    history_.push_back({t.revision_, index, false, t.info_.draining_});
}

void simulated_registry::remove(std::size_t index)
{
    targets_.at(index).is_listed_ = false;
    history_.push_back({store_revision{++revision_}, index, true, false});
}

void simulated_registry::move_targets()
{
    auto const store_is_up = now_ >= store_until_;
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        auto& t = targets_.at(i);
        auto const has_expired =
            entries_expire_ && !store_is_up && t.is_listed_ &&
            now_ - store_failed_at_ >
                expiry_time - 100ms * static_cast<int>(i % target_count);
        if (has_expired)
        {
            remove(i);
            t.registers_at_ = store_until_ + between({}, max_registration_time);
        }
        if (t.is_alive_ && store_is_up && now_ >= t.registers_at_)
        {
            put(i);
        }
    }
    // About one departure a second, which a new target follows.
    if (!store_is_up || random_.below(100) != 0)
    {
        return;
    }
    auto const index = random_.below(targets_.size());
    auto& t = targets_.at(index);
    if (!t.is_alive_ || !t.is_listed_)
    {
        return;
    }
    t.is_alive_ = false;
    t.left_at_ = now_;
    if (random_.below(2) == 0)
    {
        t.info_.draining_ = true;
        put(index);
    }
    else
    {
        remove(index);
    }
    simulated_target fresh;
    fresh.info_ = target("t" + std::to_string(targets_.size()), 4);
    targets_.push_back(std::move(fresh));
    put(targets_.size() - 1);
}

void simulated_registry::answer_calls(daemon& d)
{
    auto const calls = std::exchange(d.calls_, {});
    for (auto const& c : calls)
    {
        auto const id = c.call_.id_;
        if (!d.follower_->is_wanted(id))
        {
            continue;
        }
        auto const is_watch = c.call_.kind_ == store_call::kind::watch;
        auto const limit = is_watch ? c.call_.wait_ + call_timeout
                                    : base::duration{call_timeout};
        auto const now_path = path_of(d);
        auto const is_over = now_ - c.started_ > limit;
        if (is_over || (now_path == path::refused && !c.is_dead_))
        {
            d.follower_->on_failure(id, now_);
        }
        else if (now_path == path::silent)
        {
            // What the store would answer now is lost.
            auto dead = c;
            dead.is_dead_ = c.is_dead_ || !c.outlives_silence_;
            d.calls_.push_back(dead);
        }
        else if (c.is_dead_ || now_ - c.started_ < answer_time ||
                 (is_watch && !answer_watch(d, c)))
        {
            d.calls_.push_back(c);
        }
        else if (!is_watch)
        {
            answer_listing(d, id);
        }
    }
}

void simulated_registry::answer_listing(daemon& d, store_call_id id)
{
    std::vector<target_info> listed;
    store_revision newest{};
    std::size_t kept = 0;
    for (auto const& t : targets_)
    {
        if (t.is_listed_)
        {
            listed.push_back(t.info_);
            kept += t.revision_ <= d.newest_seen_ ? 1 : 0;
            newest = std::max(newest, t.revision_);
        }
    }
    d.follower_->on_listed(id, store_revision{revision_}, newest, now_);
    if (std::exchange(d.was_lost_, false))
    {
        d.directory_.on_registry_back(kept, now_);
    }
    d.newest_seen_ = newest;
    d.directory_.on_list(std::move(listed), now_);
    d.directory_.expire(now_);
}

bool simulated_registry::answer_watch(daemon& d, call const& c)
{
    std::optional<store_revision> newest;
    if (!history_.empty() && history_.back().revision_ > c.call_.after_)
    {
        newest = history_.back().revision_;
    }
    if (!newest && now_ - c.started_ < c.call_.wait_)
    {
        return false;
    }
    std::vector<target_change> changes;
    for (auto const& past : history_)
    {
        if (past.revision_ > c.call_.after_)
        {
            auto info = targets_.at(past.target_).info_;
            info.draining_ = past.draining_;
            changes.push_back({info.id_, std::nullopt});
            if (!past.is_removal_)
            {
                changes.back().entry_ = info;
            }
        }
    }
    d.directory_.on_changes(changes, now_);
    d.directory_.expire(now_);
    d.newest_seen_ = std::max(d.newest_seen_, newest.value_or(d.newest_seen_));
    d.follower_->on_changes(c.call_.id_, store_revision{revision_}, newest,
                            now_);
    return true;
}

void simulated_registry::advance(daemon& d)
{
    auto const calls = d.follower_->advance(now_);
    if (d.follower_->is_lost() && !d.was_lost_)
    {
        d.was_lost_ = true;
        d.directory_.on_registry_lost();
    }
    for (auto const& c : calls)
    {
        auto const is_watch = c.kind_ == store_call::kind::watch;
        d.calls_.push_back({c, now_, false, is_watch && random_.below(2) == 0});
    }
    auto const wakeup = d.directory_.next_wakeup();
    if (now_ >= wakeup && d.listed_for_ != wakeup)
    {
        d.listed_for_ = wakeup;
        d.follower_->list_now(now_);
    }
}

void simulated_registry::report_changes()
{
    for (auto const& from : daemons_)
    {
        if (is_frozen(from) || is_unheard(from))
        {
            continue;
        }
        // Late and doubled reports arrive out of order.
        auto const newest = from.follower_->newest_change();
        for (std::size_t to = 0; to < daemons_.size(); ++to)
        {
            if (random_.uniform() >= report_loss)
            {
                reports_.push_back({to, newest, now_ + max_report_delay});
                if (random_.below(16) == 0)
                {
                    reports_.push_back(reports_.back());
                }
            }
        }
    }
}

void simulated_registry::update_positions()
{
    auto const is_heard = [this](daemon const& d)
    {
        return !is_frozen(d) && !is_unheard(d);
    };
    auto const count = static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(), is_heard));
    std::size_t index = 0;
    for (auto& d : daemons_)
    {
        if (is_frozen(d))
        {
            continue;
        }
        d.follower_->set_position(is_heard(d)
                                      ? follower_position{index++, count}
                                      : follower_position{0, 1});
    }
}

void simulated_registry::violate(daemon const& d, std::string const& what)
{
    if (++violations_ == 1)
    {
        first_violation_ = "daemon " + std::to_string(d.number_) + " " + what +
                           " at " +
                           std::to_string(base::seconds(now_ - at(0s))) + " s";
    }
}

// An outage costs no daemon most of its targets, even if their entries expire.
void simulated_registry::check_live_targets(daemon const& d)
{
    if (now_ < d.started_at_ + warm_up_time)
    {
        return;
    }
    auto const known = d.directory_.targets();
    std::size_t alive = 0;
    std::size_t usable = 0;
    for (auto const& t : targets_)
    {
        alive += t.is_alive_ ? 1 : 0;
        usable += t.is_alive_ && std::any_of(known.begin(), known.end(),
                                             [&](target_info const& one)
                                             { return one.id_ == t.info_.id_; })
                      ? 1
                      : 0;
    }
    if (3 * usable < alive)
    {
        violate(d, "knows " + std::to_string(usable) + " of " +
                       std::to_string(alive) + " live targets");
    }
}

void simulated_registry::check_departures(daemon const& d)
{
    for (auto const& known : d.directory_.targets())
    {
        auto const t = std::find_if(targets_.begin(), targets_.end(),
                                    [&](auto const& one)
                                    { return one.info_.id_ == known.id_; });
        if (!known.draining_ && t->left_at_ != base::time_point::max() &&
            now_ > t->left_at_ + settings_.departure_bound_)
        {
            violate(d, "uses " + known.id_.str() + ", which left at " +
                           std::to_string(base::seconds(t->left_at_ - at(0s))) +
                           " s,");
        }
    }
}

void simulated_registry::check()
{
    if ((now_ - at(0s)) % check_interval != base::duration{})
    {
        return;
    }
    for (auto const& d : daemons_)
    {
        if (is_frozen(d))
        {
            continue;
        }
        check_live_targets(d);
        auto const stable_at = std::max(d.disturbed_at_, store_disturbed_at_) +
                               settings_.stable_window_;
        if (now_ >= stable_at)
        {
            ++checked_;
            check_departures(d);
        }
    }
}

} // namespace tanagerlead::routing::testing
