#include "src/routing/store_follower.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

char const* name_of(store_follower::gap gap)
{
    switch (gap)
    {
    case store_follower::gap::none:
        return "none";
    case store_follower::gap::call_failed:
        return "call failed";
    case store_follower::gap::watch_overdue:
        return "watch is overdue";
    case store_follower::gap::behind_peers:
        return "another daemon has newer changes";
    }
    return "unknown";
}

base::duration store_follower::jittered(base::duration pause)
{
    constexpr double least = 0.7;
    constexpr double range = 0.6;
    return base::from_seconds(base::seconds(pause) *
                              (least + range * random_.uniform()));
}

void store_follower::restart(base::time_point now)
{
    listings_.clear();
    arriving_until_ = {};
    watch_.reset();
    watch_at_ = base::time_point::max();
    peer_revision_ = {};
    newest_change_ = {};
    list_at_ = now + base::from_seconds(base::seconds(max_restart_delay) *
                                        random_.uniform());
}

void store_follower::set_position(follower_position position)
{
    if (position == position_)
    {
        return;
    }
    position_ = position;
    if (watch_ && !watch_->is_arriving_)
    {
        watch_->due_ =
            std::min(watch_->due_, watch_due(watch_->started_, watch_time()));
    }
}

// Each daemon waits for a whole cycle, and the first wait after a change gives
// it its place in the cycle.
base::duration store_follower::watch_time() const
{
    auto const count =
        static_cast<int>(std::max<std::size_t>(position_.count_, 1));
    auto const cycle = std::min(max_watch_time, count * max_turn);
    return is_after_change_
               ? cycle * static_cast<int>(position_.index_ + 1) / count
               : cycle;
}

base::time_point store_follower::watch_due(base::time_point started,
                                           base::duration wait) const
{
    return peer_revision_ > revision_ ? started + change_margin
                                      : started + wait + watch_margin;
}

void store_follower::on_peer_revision(store_revision revision,
                                      base::time_point now)
{
    if (revision <= peer_revision_)
    {
        return;
    }
    peer_revision_ = revision;
    if (watch_ && !watch_->is_arriving_ && peer_revision_ > revision_)
    {
        watch_->due_ = std::min(watch_->due_, now + change_margin);
    }
}

void store_follower::on_store_reached(base::time_point now)
{
    if (is_lost())
    {
        list_at_ = std::max(now, arriving_until_);
    }
}

void store_follower::retry_now(base::time_point now)
{
    if (list_at_ != base::time_point::max())
    {
        list_at_ = std::max(now, arriving_until_);
    }
}

bool store_follower::is_wanted(store_call_id call) const
{
    return (watch_ && watch_->id_ == call) ||
           std::find(listings_.begin(), listings_.end(), call) !=
               listings_.end();
}

void store_follower::on_progress(store_call_id call, base::time_point now)
{
    if (!is_wanted(call))
    {
        return;
    }
    if (watch_ && watch_->id_ == call)
    {
        watch_->is_arriving_ = true;
        watch_->due_ = std::max(watch_->due_, now + progress_margin);
        return;
    }
    arriving_until_ = now + progress_margin;
    list_at_ = std::max(list_at_, arriving_until_);
}

void store_follower::on_listed(store_call_id call, store_revision revision,
                               store_revision newest, base::time_point now)
{
    if (!is_wanted(call))
    {
        return;
    }
    listings_.clear();
    arriving_until_ = {};
    list_at_ = base::time_point::max();
    watch_at_ = now;
    backoff_ = initial_backoff;
    is_after_change_ = true;
    gap_ = gap::none;
    revision_ = revision;
    newest_change_ = newest;
    // A revision beyond a fresh listing is not of this era.
    peer_revision_ = std::min(peer_revision_, revision_);
}

void store_follower::on_changes(store_call_id call, store_revision revision,
                                std::optional<store_revision> newest,
                                base::time_point now)
{
    if (!is_wanted(call))
    {
        return;
    }
    watch_.reset();
    backoff_ = initial_backoff;
    revision_ = std::max(revision_, revision);
    is_after_change_ = newest.has_value();
    watch_at_ = now;
    if (newest)
    {
        newest_change_ = std::max(newest_change_, *newest);
        watch_at_ += min_interval_;
    }
}

void store_follower::list_again(gap why, base::time_point now)
{
    watch_.reset();
    watch_at_ = base::time_point::max();
    list_at_ = now;
    if (gap_ == gap::none)
    {
        gap_ = why;
    }
}

void store_follower::on_history_lost(store_call_id call, base::time_point now)
{
    if (is_wanted(call))
    {
        list_again(gap::none, now);
    }
}

void store_follower::on_failure(store_call_id call, base::time_point now)
{
    if (!is_wanted(call))
    {
        return;
    }
    std::erase(listings_, call);
    arriving_until_ = {};
    auto const next = now + jittered(backoff_);
    backoff_ = std::min(2 * backoff_, max_backoff);
    list_again(gap::call_failed, std::min(list_at_, next));
}

std::vector<store_call> store_follower::advance(base::time_point now)
{
    std::vector<store_call> out;
    if (watch_ && now >= watch_->due_)
    {
        list_again(peer_revision_ > revision_ ? gap::behind_peers
                                              : gap::watch_overdue,
                   now);
    }
    if (now >= list_at_)
    {
        auto const id = store_call_id{++last_id_};
        listings_.push_back(id);
        list_at_ = now + jittered(max_backoff);
        out.push_back({id, store_call::kind::list, {}, {}});
    }
    if (now >= watch_at_)
    {
        auto const id = store_call_id{++last_id_};
        auto const wait = watch_time();
        watch_ = {id, now, watch_due(now, wait)};
        watch_at_ = base::time_point::max();
        out.push_back({id, store_call::kind::watch, revision_, wait});
    }
    return out;
}

base::time_point store_follower::next_wakeup() const
{
    auto const next = std::min(list_at_, watch_at_);
    return watch_ ? std::min(next, watch_->due_) : next;
}

} // namespace tanagerlead::routing
