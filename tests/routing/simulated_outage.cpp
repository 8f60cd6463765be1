#include "tests/routing/simulated_outage.hpp"

namespace tanagerlead::routing::testing
{

namespace
{

constexpr base::duration step = 10ms;
constexpr base::duration report_interval = 50ms;
constexpr base::duration outage_begin = 1s;
constexpr base::duration outage_end = 5s;
constexpr base::duration length = 8s;
constexpr double loss = 0.1;
constexpr double lateness = 0.05;
constexpr double doubling = 0.05;
constexpr base::duration usual_delay = 5ms;
constexpr base::duration late_delay = 200ms;
constexpr std::size_t target_count = 140;
constexpr std::size_t refusing_count = 35;
constexpr int slots = 4;
constexpr base::duration service_time = 500ms;
constexpr double load = 1.5;
constexpr std::size_t max_failed_connects = 3;

peer_ip ip_of(std::size_t daemon)
{
    return peer_ip{static_cast<std::uint32_t>(daemon + 1)};
}

} // namespace

simulated_outage::simulated_outage(settings s, std::uint64_t seed)
    : settings_{s}, random_{seed}, now_{at(0s)}, used_(target_count, 0),
      daemons_(s.daemons_)
{
    for (std::size_t i = 0; i < target_count; ++i)
    {
        targets_.push_back(target("target" + std::to_string(i), slots));
        index_.emplace(targets_.back().id_, i);
    }
    std::vector<peer_ip> fleet;
    for (std::size_t i = 0; i < s.daemons_; ++i)
    {
        fleet.push_back(ip_of(i));
    }
    for (std::size_t i = 0; i < s.daemons_; ++i)
    {
        auto& d = daemons_[i];
        d.dispatcher_ = std::make_unique<dispatcher>(
            dispatcher::settings{base::data_centre_id{"near"}, random_(),
                                 ip_of(i)},
            d.peers_);
        d.dispatcher_->set_fleet(fleet, now_);
        d.dispatcher_->set_targets(targets_);
    }
}

bool simulated_outage::refuses(std::size_t target) const
{
    return target < refusing_count && now_ >= at(outage_begin) &&
           now_ < at(outage_end);
}

bool simulated_outage::has_room() const
{
    for (std::size_t i = 0; i < target_count; ++i)
    {
        if (!refuses(i) && used_[i] < slots)
        {
            return true;
        }
    }
    return false;
}

void simulated_outage::arrive()
{
    arrivals_ += load * (target_count - refusing_count) * slots *
                 base::seconds(step) / base::seconds(service_time);
    for (; arrivals_ >= 1; arrivals_ -= 1)
    {
        auto const number = next_++;
        auto& d = daemons_[random_.below(daemons_.size())];
        auto item = call(number);
        item.work_.received_ = now_;
        item.work_.deadline_ = now_ + 10s;
        d.calls_.emplace(number, item);
        d.dispatcher_->submit(item, now_);
    }
}

void simulated_outage::finish()
{
    while (!running_.empty() && running_.begin()->first <= now_)
    {
        auto const ended = running_.begin()->second;
        running_.erase(running_.begin());
        auto& d = daemons_[ended.daemon_];
        --used_[ended.target_];
        ++result_.served_;
        d.calls_.erase(ended.number_);
        d.dispatcher_->on_attempt_end({1, ended.number_},
                                      attempt_outcome::finished, now_);
    }
}

void simulated_outage::report(std::size_t from)
{
    auto& d = daemons_[from];
    auto const content = std::make_shared<peer_report>();
    content->incarnation_ = 1;
    content->sequence_number_ = ++d.reports_;
    content->state_ = daemon_state::ready;
    d.dispatcher_->report_usage(*content, now_,
                                d.reports_ * peer_report::max_leaving);
    for (std::size_t to = 0; to < daemons_.size(); ++to)
    {
        if (to == from || random_.uniform() < loss)
        {
            continue;
        }
        auto const delay =
            random_.uniform() < lateness ? late_delay : usual_delay;
        messages_.emplace(now_ + delay,
                          message{now_ + delay, from, to, content});
        if (random_.uniform() < doubling)
        {
            messages_.emplace(now_ + 2 * delay,
                              message{now_ + 2 * delay, from, to, content});
        }
    }
}

void simulated_outage::deliver()
{
    while (!messages_.empty() && messages_.begin()->first <= now_)
    {
        auto const& m = messages_.begin()->second;
        auto& d = daemons_[m.to_];
        d.peers_.on_report(ip_of(m.from_), *m.report_, now_);
        if (settings_.is_shared_)
        {
            d.dispatcher_->outages().on_report(ip_of(m.from_), *m.report_,
                                               now_);
        }
        messages_.erase(messages_.begin());
    }
}

void simulated_outage::on_connect(daemon& d, std::size_t target, bool connected)
{
    result_.failed_connects_ += connected ? 0 : 1;
    if (settings_.is_shared_)
    {
        d.dispatcher_->outages().on_connect(digest_of(targets_[target]),
                                            connected, now_);
    }
}

void simulated_outage::refuse(daemon& d, std::uint64_t number,
                              bool lacks_target)
{
    d.calls_.erase(number);
    result_.refused_beside_room_ += lacks_target && has_room() ? 1 : 0;
}

void simulated_outage::connect(std::size_t index, std::uint64_t number,
                               base::target_id const& id)
{
    auto& d = daemons_[index];
    auto const target = index_.at(id);
    auto const connected = !refuses(target);
    on_connect(d, target, connected);
    if (connected)
    {
        ++used_[target];
        running_.emplace(now_ + service_time, running{index, number, target});
        return;
    }
    d.dispatcher_->on_attempt_end({1, number}, attempt_outcome::not_connected,
                                  now_);
    auto& item = d.calls_.at(number);
    item.tried_.push_back(id);
    if (item.tried_.size() >= max_failed_connects)
    {
        refuse(d, number, true);
        return;
    }
    d.dispatcher_->submit(item, now_);
}

void simulated_outage::decide(std::size_t index)
{
    auto& d = daemons_[index];
    d.peers_.refresh(now_);
    for (auto const& probe : d.dispatcher_->advance_outages(now_).probes_)
    {
        auto const target = index_.at(probe.id_);
        on_connect(d, target, !refuses(target));
    }
    std::vector<sched::action> actions;
    do
    {
        actions.clear();
        d.dispatcher_->advance_outages(now_);
        d.dispatcher_->advance(now_, actions);
        for (auto const& action : actions)
        {
            if (auto const* const grant = std::get_if<sched::grant>(&action))
            {
                connect(index, grant->request_.sequence_, grant->target_);
                continue;
            }
            auto const& r = std::get<sched::refusal>(action);
            refuse(d, r.request_.sequence_,
                   r.cause_ == sched::refusal_cause::no_target);
        }
    } while (!actions.empty());
}

simulated_outage::result simulated_outage::run()
{
    auto next_report = now_;
    for (; now_ < at(length); now_ += step)
    {
        finish();
        deliver();
        arrive();
        for (std::size_t d = 0; d < daemons_.size(); ++d)
        {
            decide(d);
        }
        if (now_ >= next_report)
        {
            next_report += report_interval;
            for (std::size_t d = 0; d < daemons_.size(); ++d)
            {
                report(d);
            }
        }
    }
    for (auto const& d : daemons_)
    {
        result_.out_at_end_ += d.dispatcher_->outages().out_count();
    }
    return result_;
}

} // namespace tanagerlead::routing::testing
