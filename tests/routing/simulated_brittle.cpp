#include "tests/routing/simulated_brittle.hpp"

#include <algorithm>

namespace tanagerlead::routing::testing
{

namespace
{

constexpr base::duration step = 5ms;
constexpr base::duration answer_time = 5ms;
constexpr base::duration brittle_from = 2s;
/// Requests that may wait at a target; fewer in the stable time.
constexpr std::size_t usual_queue = 4;
constexpr std::size_t stable_queue = 1;
constexpr base::duration min_work = 100ms;
constexpr base::duration max_work = 800ms;
constexpr base::duration patience = 3s;
/// Callers that leave while their request runs, and the time that they stay.
constexpr double leaving_fraction = 0.2;
constexpr base::duration min_stay = 50ms;
constexpr base::duration max_stay = 400ms;
/// Requests that a target goes on running when the connection is gone.
constexpr double lingering_fraction = 0.25;
constexpr double report_loss = 0.2;
constexpr base::duration usual_delay = 60ms;
constexpr base::duration late_delay = 400ms;
constexpr double late_fraction = 0.05;
constexpr base::duration fleet_interval = 150ms;
constexpr base::duration refresh_interval = 50ms;
/// Daemons that learn at the next opportunity who belongs to the fleet.
constexpr double prompt_fraction = 0.7;
constexpr base::duration retention = peer_table::retention;
constexpr base::duration mean_fault_interval = 1s;
constexpr double burst_factor = 4;
constexpr std::size_t max_attempts = 3;
constexpr base::duration rejection_window = 1s;
constexpr base::duration repeated_time = 100ms;

peer_ip ip_of(std::size_t index)
{
    return peer_ip{static_cast<std::uint32_t>(500 + 3 * index)};
}

} // namespace

simulated_brittle::simulated_brittle(settings s, std::uint64_t seed)
    : settings_{s}, random_{seed}, now_{at(0s)}, targets_(s.targets_),
      daemons_(s.daemons_), next_fault_{at(4s)}
{
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        targets_[i].info_ =
            target("target" + std::to_string(i) + "-0", s.slots_);
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        start(i);
    }
}

base::duration simulated_brittle::between(base::duration least,
                                          base::duration most)
{
    return base::from_seconds(base::seconds(least) +
                              random_.uniform() * base::seconds(most - least));
}

bool simulated_brittle::is_brittle() const
{
    return now_ >= at(brittle_from);
}

bool simulated_brittle::is_stable() const
{
    return now_ >= at(brittle_from) + settings_.stable_window_;
}

void simulated_brittle::start(std::size_t index)
{
    auto& d = daemons_[index];
    ++d.life_;
    d.calls_.clear();
    d.dispatcher_.reset();
    d.peers_ = std::make_unique<peer_table>();
    d.dispatcher_ = std::make_unique<dispatcher>(
        dispatcher::settings{base::data_centre_id{"near"}, random_(),
                             ip_of(index)},
        *d.peers_);
    d.registry_due_ = now_;
}

void simulated_brittle::fail_at_random()
{
    if (!settings_.has_faults_ || now_ < next_fault_)
    {
        return;
    }
    next_fault_ = now_ + between({}, 2 * mean_fault_interval);
    auto const index = random_.below(daemons_.size());
    auto& d = daemons_[index];
    switch (random_.below(7))
    {
    case 0:
        if (runs(d))
        {
            cut_off(index);
            d.died_at_ = now_;
            d.dead_until_ = now_ + between(300ms, 12s);
            d.disturbed_until_ = d.dead_until_ + settings_.stable_window_;
            start(index);
            d.registry_due_ = d.dead_until_;
        }
        break;
    case 1:
        d.frozen_until_ = now_ + between(300ms, 4s);
        d.disturbed_until_ = std::max(
            d.disturbed_until_, d.frozen_until_ + settings_.stable_window_);
        break;
    case 2:
        d.unheard_until_ = now_ + between(300ms, 6s);
        break;
    case 3:
        if (runs(d))
        {
            d.cut_until_ = now_ + between(500ms, 4s);
            cut_off(index);
        }
        break;
    case 4:
        end_target(random_.below(targets_.size()));
        break;
    case 5:
        break_links(random_.below(targets_.size()));
        break;
    default:
        burst_until_ = now_ + 500ms;
        break;
    }
}

// The connections of the daemon to all targets break.
void simulated_brittle::cut_off(std::size_t index)
{
    for (std::size_t place = 0; place < targets_.size(); ++place)
    {
        auto& t = targets_[place];
        auto const breaks = [&](job& j)
        {
            if (j.daemon_ != index || j.is_abandoned_)
            {
                return false;
            }
            answer_later(place, j, attempt_outcome::lost, false);
            j.is_abandoned_ = true;
            return random_.uniform() >= lingering_fraction;
        };
        std::erase_if(t.running_, breaks);
        std::erase_if(t.queue_, breaks);
    }
}

// All connections to the target break, and it goes on running its requests.
void simulated_brittle::break_links(std::size_t place)
{
    auto& t = targets_[place];
    for (auto& j : t.running_)
    {
        if (!j.is_abandoned_)
        {
            answer_later(place, j, attempt_outcome::lost, false);
            j.is_abandoned_ = true;
        }
    }
}

void simulated_brittle::arrive()
{
    auto const work = base::seconds(min_work + max_work) / 2;
    auto const capacity =
        static_cast<double>(targets_.size()) * settings_.slots_ / work;
    arrivals_ += settings_.load_ * capacity * base::seconds(step) *
                 (now_ < burst_until_ ? burst_factor : 1.0);
    for (; arrivals_ >= 1; arrivals_ -= 1)
    {
        auto const number = ++next_;
        auto& d = daemons_[random_.below(daemons_.size())];
        if (!runs(d))
        {
            continue;
        }
        auto item = call(number);
        item.urgent_ = random_.below(2) == 0;
        item.work_.received_ = now_;
        item.work_.deadline_ = now_ + patience;
        result_.asked_ += is_stable() ? 1 : 0;
        d.calls_.emplace(number, item);
        d.dispatcher_->submit(item, now_);
    }
}

void simulated_brittle::answer_later(std::size_t place, job const& j,
                                     attempt_outcome outcome, bool is_answer,
                                     base::duration delay)
{
    answers_.emplace(now_ + answer_time + delay,
                     answer{j.daemon_, j.life_, j.number_,
                            targets_[place].info_, place, j.sent_, outcome,
                            is_answer, false});
}

void simulated_brittle::begin(std::size_t place, job j)
{
    j.ends_at_ = now_ + j.work_;
    if (!j.is_abandoned_)
    {
        answers_.emplace(now_ + answer_time,
                         answer{j.daemon_, j.life_, j.number_,
                                targets_[place].info_, place, j.sent_,
                                attempt_outcome::finished, true, true});
    }
    targets_[place].running_.push_back(j);
}

void simulated_brittle::connect(std::size_t index, std::uint64_t number,
                                target_info const& target)
{
    auto const place = static_cast<std::size_t>(
        std::find_if(targets_.begin(), targets_.end(),
                     [&](simulated_target const& t)
                     { return t.info_.id_ == target.id_; }) -
        targets_.begin());
    if (place == targets_.size() || !is_up(targets_[place]) ||
        now_ < daemons_[index].cut_until_)
    {
        end_attempt(index, number, target, attempt_outcome::not_connected);
        return;
    }
    auto& t = targets_[place];
    job j{index, daemons_[index].life_,       number,
          now_,  between(min_work, max_work), base::time_point::max()};
    if (random_.uniform() < leaving_fraction)
    {
        j.left_at_ = now_ + between(min_stay, max_stay);
    }
    else
    {
        j.left_at_ = base::time_point::max();
    }
    if (t.running_.size() < static_cast<std::size_t>(settings_.slots_))
    {
        begin(place, j);
    }
    else if (t.queue_.size() < (is_stable() ? stable_queue : usual_queue))
    {
        t.queue_.push_back(j);
    }
    else
    {
        turn_away(place, j);
    }
}

void simulated_brittle::turn_away(std::size_t place, job const& j)
{
    auto& t = targets_[place];
    auto& d = daemons_[j.daemon_];
    answer_later(place, j, attempt_outcome::rejected, true);
    if (!is_stable())
    {
        return;
    }
    t.rejections_.push_back({now_, now_ >= d.disturbed_until_});
    while (t.rejections_.front().at_ <= now_ - rejection_window)
    {
        t.rejections_.pop_front();
    }
    ++result_.rejections_;
    result_.unaware_ += d.dispatcher_->is_brittle(t.info_) ? 0 : 1;
    auto& last = d.rejected_at_[place];
    result_.repeated_ += now_ - last < repeated_time ? 1 : 0;
    last = now_;
    if (t.rejections_.size() <=
        static_cast<std::size_t>(settings_.max_rejections_))
    {
        return;
    }
    auto const counted =
        std::count_if(t.rejections_.begin(), t.rejections_.end(),
                      [](rejection const& r) { return r.counts_; });
    if (2 * counted > static_cast<std::ptrdiff_t>(t.rejections_.size()))
    {
        if (++result_.falls_ == 1)
        {
            result_.first_fall_ = t.info_.id_.str() + " at " +
                                  std::to_string(base::seconds(now_ - at(0s))) +
                                  " s";
        }
    }
    end_target(place);
}

void simulated_brittle::end_target(std::size_t place)
{
    auto& t = targets_[place];
    if (!is_up(t))
    {
        return;
    }
    auto const lose = [&](job const& j)
    {
        if (!j.is_abandoned_)
        {
            answer_later(place, j, attempt_outcome::lost, false);
        }
    };
    std::for_each(t.running_.begin(), t.running_.end(), lose);
    std::for_each(t.queue_.begin(), t.queue_.end(), lose);
    t.running_.clear();
    t.queue_.clear();
    t.rejections_.clear();
    t.down_until_ = now_ + between(1s, 4s);
    t.info_.id_ = base::target_id{"target" + std::to_string(place) + "-" +
                                  std::to_string(++t.incarnation_)};
}

void simulated_brittle::leave(std::size_t place)
{
    auto& t = targets_[place];
    auto const leaves = [&](job& j)
    {
        if (j.is_abandoned_ || now_ < j.left_at_)
        {
            return false;
        }
        j.is_abandoned_ = true;
        answer_later(place, j, attempt_outcome::cancelled, false, -answer_time);
        return random_.uniform() >= lingering_fraction;
    };
    std::erase_if(t.running_, leaves);
    std::erase_if(t.queue_, leaves);
}

void simulated_brittle::run_targets()
{
    for (std::size_t place = 0; place < targets_.size(); ++place)
    {
        auto& t = targets_[place];
        if (t.down_until_ != base::time_point::min() && is_up(t))
        {
            t.down_until_ = base::time_point::min();
            change_registry();
        }
        leave(place);
        std::erase_if(t.running_,
                      [&](job const& j)
                      {
                          if (j.ends_at_ > now_)
                          {
                              return false;
                          }
                          if (!j.is_abandoned_)
                          {
                              answer_later(place, j, attempt_outcome::finished,
                                           true);
                          }
                          return true;
                      });
        while (t.running_.size() < static_cast<std::size_t>(settings_.slots_) &&
               !t.queue_.empty())
        {
            auto const next = t.queue_.front();
            t.queue_.pop_front();
            begin(place, next);
        }
    }
}

void simulated_brittle::change_registry()
{
    for (auto& d : daemons_)
    {
        d.registry_due_ =
            std::max(std::min(d.registry_due_, now_ + between(20ms, 300ms)),
                     d.dead_until_);
    }
}

void simulated_brittle::update_registries()
{
    for (auto& d : daemons_)
    {
        if (now_ < d.registry_due_ || !runs(d))
        {
            continue;
        }
        d.registry_due_ = base::time_point::max();
        std::vector<target_info> up;
        for (auto const& t : targets_)
        {
            if (is_up(t))
            {
                up.push_back(t.info_);
            }
        }
        d.dispatcher_->set_targets(up);
    }
}

// A daemon that has died stays known until it is forgotten.
void simulated_brittle::update_fleets()
{
    std::vector<peer_ip> fleet;
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        auto const& d = daemons_[i];
        if (now_ >= d.dead_until_ || now_ < d.died_at_ + retention)
        {
            fleet.push_back(ip_of(i));
        }
    }
    for (auto& d : daemons_)
    {
        if (runs(d) && random_.uniform() < prompt_fraction)
        {
            d.dispatcher_->set_fleet(fleet, now_);
        }
    }
}

void simulated_brittle::report(std::size_t from)
{
    auto& d = daemons_[from];
    if (!is_heard(d))
    {
        return;
    }
    auto const content = std::make_shared<peer_report>();
    content->incarnation_ = d.life_;
    content->sequence_number_ = ++d.reports_;
    content->state_ = daemon_state::ready;
    d.dispatcher_->report_usage(*content, now_,
                                d.reports_ * peer_report::max_leaving);
    for (std::size_t to = 0; to < daemons_.size(); ++to)
    {
        if (to != from && random_.uniform() >= report_loss)
        {
            auto const delay =
                random_.uniform() < late_fraction ? late_delay : usual_delay;
            messages_.emplace(now_ + delay, message{from, to, content});
        }
    }
}

void simulated_brittle::deliver()
{
    while (!messages_.empty() && messages_.begin()->first <= now_)
    {
        auto const& m = messages_.begin()->second;
        auto& d = daemons_[m.to_];
        if (is_heard(d))
        {
            d.peers_->on_report(ip_of(m.from_), *m.report_, now_);
            d.dispatcher_->on_brittle_reported(*m.report_, now_);
        }
        messages_.erase(messages_.begin());
    }
    for (auto a = answers_.begin(); a != answers_.end() && a->first <= now_;)
    {
        auto const next = a->second;
        a = answers_.erase(a);
        auto const& d = daemons_[next.daemon_];
        if (d.life_ != next.life_)
        {
            continue;
        }
        if (!runs(d))
        {
            answers_.emplace(d.frozen_until_, next);
            continue;
        }
        on_answer(next);
    }
}

void simulated_brittle::on_answer(answer const& a)
{
    auto& d = *daemons_[a.daemon_].dispatcher_;
    if (a.is_answer_)
    {
        std::optional<request_rate> stated;
        if (is_brittle())
        {
            stated =
                request_rate{static_cast<double>(settings_.max_rejections_)};
        }
        d.on_brittle(a.target_, stated, a.sent_, now_);
    }
    if (a.is_admission_)
    {
        d.on_admitted({1, a.number_}, now_);
    }
    else
    {
        end_attempt(a.daemon_, a.number_, a.target_, a.outcome_);
    }
}

void simulated_brittle::end_attempt(std::size_t index, std::uint64_t number,
                                    target_info const& target,
                                    attempt_outcome outcome)
{
    auto& d = daemons_[index];
    auto const found = d.calls_.find(number);
    if (found == d.calls_.end())
    {
        return;
    }
    d.dispatcher_->on_attempt_end({1, number}, outcome, now_);
    auto& item = found->second;
    item.tried_.push_back(target.id_);
    auto const is_retried = outcome != attempt_outcome::finished &&
                            outcome != attempt_outcome::cancelled &&
                            item.tried_.size() < max_attempts;
    if (is_retried)
    {
        d.dispatcher_->submit(item, now_);
        return;
    }
    if (outcome == attempt_outcome::finished && is_stable())
    {
        ++result_.served_;
    }
    d.calls_.erase(found);
}

void simulated_brittle::decide(std::size_t index)
{
    auto& d = daemons_[index];
    if (!runs(d) || d.calls_.empty())
    {
        return;
    }
    std::vector<sched::action> actions;
    d.dispatcher_->advance(now_, actions);
    for (auto const& action : actions)
    {
        if (auto const* const g = std::get_if<sched::grant>(&action))
        {
            connect(index, g->request_.sequence_,
                    *d.dispatcher_->find(g->target_));
            continue;
        }
        d.calls_.erase(std::get<sched::refusal>(action).request_.sequence_);
    }
}

simulated_brittle::result simulated_brittle::run()
{
    auto next_report = now_;
    auto next_fleet = now_;
    auto next_refresh = now_;
    for (auto const end = now_ + settings_.length_; now_ < end; now_ += step)
    {
        fail_at_random();
        run_targets();
        deliver();
        update_registries();
        if (now_ >= next_fleet)
        {
            next_fleet += fleet_interval;
            update_fleets();
        }
        if (now_ >= next_refresh)
        {
            next_refresh += refresh_interval;
            for (auto& d : daemons_)
            {
                d.peers_->refresh(now_);
            }
        }
        arrive();
        for (std::size_t i = 0; i < daemons_.size(); ++i)
        {
            decide(i);
        }
        if (now_ >= next_report)
        {
            next_report += settings_.report_interval_;
            for (std::size_t i = 0; i < daemons_.size(); ++i)
            {
                report(i);
            }
        }
    }
    return result_;
}

} // namespace tanagerlead::routing::testing
